/** Properties of a modelled engine. Times are in milliseconds of the model's clock. */
export interface EngineModelCfg {
  /** Duration of a step with an empty batch. */
  readonly stepMs: number;
  /** Added to a step by each request that generates a token in it. */
  readonly perRequestMs: number;
  /** Added to a step by each prompt token that is processed in it. */
  readonly perPrefillTokenMs: number;
  /** Prompt tokens processed in one step at most (chunked prefill). */
  readonly maxPrefillTokens: number;
  /** Speed relative to the figures above; 2 halves every step. */
  readonly speed: number;
  /** Size of the KV memory, in tokens. */
  readonly memoryTokens: number;
  /** Tokens in one prefix block. */
  readonly blockTokens: number;
  /** Whether the engine is cold at time 0; it always is after a restart. */
  readonly startsCold?: boolean;
  /** Time after a start in which the engine is cold. */
  readonly coldMs: number;
  /** Generated tokens after which the engine is warm even before that time. */
  readonly coldTokens: number;
  /** How many times slower steps are while the engine is cold. */
  readonly coldFactor: number;
  /** Requests at once that a cold engine can handle. */
  readonly coldConcurrency: number;
  /** What more requests do to a cold engine. */
  readonly coldOverload: 'crash' | 'fail';
  /** Time from a crash to the next start; without it the engine stays down. */
  readonly restartMs?: number;
  /** Age of the figures in a load report. */
  readonly loadLagMs: number;
  /** Time until a cache event can be read. */
  readonly cacheEventDelayMs: number;
  /** Share of cache events that are lost, 0 to 1. */
  readonly cacheEventGapShare: number;
}

/** An engine of today's size; use it with other values spread over it. */
export const defaultEngineModelCfg: EngineModelCfg = {
  stepMs: 12,
  perRequestMs: 0.4,
  perPrefillTokenMs: 0.04,
  maxPrefillTokens: 1024,
  speed: 1,
  memoryTokens: 120_000,
  blockTokens: 256,
  coldMs: 10_000,
  coldTokens: 2000,
  coldFactor: 4,
  coldConcurrency: 2,
  coldOverload: 'crash',
  restartMs: 3000,
  loadLagMs: 500,
  cacheEventDelayMs: 300,
  cacheEventGapShare: 0.02,
};

/** A request as the model sees it. */
export interface EngineRequest {
  readonly id: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Hashes of the prompt's prefixes at block boundaries, shortest first. */
  readonly prefixes: readonly string[];
  /** Route, for faults on one route only. */
  readonly route?: string;
  /** Prompt text, for faults that depend on the content. */
  readonly content?: string;
}

/** A fault of a version; it applies where all its conditions hold. */
export interface EngineFault {
  /** Share of requests that fail at a random token, 0 to 1. */
  readonly failShare?: number;
  /** How many times slower requests are. */
  readonly slowFactor?: number;
  /** Requests whose content contains this text crash the engine. */
  readonly crashMarker?: string;
  /** Condition: only requests on this route. */
  readonly route?: string;
  /** Condition: only while more requests than this run. */
  readonly aboveBatch?: number;
  /** Condition: only from this time on. */
  readonly fromMs?: number;
}

/** What happened in an engine. */
export type EngineEvent =
  | {kind: 'firstToken'; id: string; atMs: number; cachedTokens: number}
  /** `count` tokens were generated since the last such event of the request. */
  | {kind: 'token'; id: string; atMs: number; count: number}
  | {
      kind: 'finished';
      id: string;
      atMs: number;
      tokens: number;
      cachedTokens: number;
    }
  | {kind: 'failed'; id: string; atMs: number; reason: EngineFailure}
  /** Follows the `failed` events of all requests in the engine. */
  | {kind: 'crashed'; atMs: number};

/** Why an engine ended a request. */
export type EngineFailure = 'crashed' | 'overloaded' | 'too-long' | 'fault';
