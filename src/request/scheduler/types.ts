import type {Tier} from '../../version/resources/kinds.js';
import type {RefusalReason} from '../refusals.js';

/** Target as seen by the owner of its group. */
export interface TargetView {
  readonly name: string;
  readonly service: string;
  readonly zone: string;
  /** Base URL. */
  readonly address: string;
  readonly version: string;
  readonly hardware: string;
  /** Maximum number of requests in flight, over all hosts. */
  readonly maxConcurrency: number;
  /** Maximum number of requests in flight while the target is cold, over all hosts. */
  readonly coldConcurrency: number;
  /** Whether the target gets new requests; otherwise it only finishes those in flight. */
  readonly usable: boolean;
}

/** Limits of one version during a rollout. */
export interface VersionCap {
  readonly version: string;
  /** Maximum share of new grants, 0 to 1. */
  readonly share: number;
  /** Maximum number of outstanding permits of this owner. */
  readonly inFlight: number;
}

/** A request that waits for a permit. */
export interface QueuedRequest {
  /** Unique in the fleet. */
  readonly id: string;
  /** Host that requests the permit. */
  readonly host: string;
  readonly service: string;
  /** Route within the service, for evidence and circuit breaking. */
  readonly route: string;
  readonly organisation: string;
  /** Weight of the organisation within the tier. */
  readonly weight: number;
  readonly tier: Tier;
  readonly idempotent: boolean;
  /** Time left until the deadline when the request is offered to the owner, in milliseconds. */
  readonly timeoutMs: number;
  /** Estimated prompt length, in tokens; 1 for plain HTTP services. */
  readonly promptTokens: number;
  /** Maximum number of generated tokens, if the caller states one. */
  readonly maxTokens?: number;
  /** Whether a model's response is not streamed, so that its first token cannot be observed. */
  readonly wholeAnswer?: boolean;
  /** Hashes of the prompt's prefixes at block boundaries, shortest first. */
  readonly prefixes: readonly string[];
  /** Number of earlier attempts; first attempts are served before retries of the same tier. */
  readonly attempt: number;
  /** Targets that failed this request; used again only if no other target is usable. */
  readonly avoid: readonly string[];
}

/** Permit that a follower already holds when it starts to follow a new owner. */
export interface OutstandingPermit {
  readonly permitId: string;
  readonly request: QueuedRequest;
  readonly target: string;
  /** Time since the grant, in milliseconds. */
  readonly ageMs: number;
  /** Number of tokens generated so far. */
  readonly tokens: number;
}

/** Result of an attempt, as reported to the owner. */
export interface AttemptOutcome {
  readonly result:
    | 'ok'
    | 'not-started'
    | 'busy'
    | 'failed'
    | 'broken'
    | 'cancelled'
    | 'crashed';
  /** Time from dispatch to the first token or byte of the response, in milliseconds. */
  readonly firstTokenMs?: number;
  /** Time from dispatch to the end, in milliseconds. */
  readonly totalMs: number;
  /** Number of generated tokens; 1 for a plain HTTP service. */
  readonly tokens: number;
  /** Prompt tokens that the engine found in its cache, if it reports them. */
  readonly cachedTokens?: number;
}

/** Load reported by a target; the figures lag behind its actual load. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  /** Age of the figures when they were read, in milliseconds. */
  readonly ageMs: number;
  /** Share of the KV cache that is in use, 0 to 1. */
  readonly cacheUse: number;
  /** Increases with each start of the engine; a new value means that the cache is cold. */
  readonly epoch: number;
}

/** Change of a target's prefix cache. */
export interface CacheEvent {
  readonly op: 'stored' | 'evicted' | 'cleared';
  readonly prefixes: readonly string[];
  /** Sequence number; a gap means that events were lost. */
  readonly sequence: number;
}

/** Decision of a group scheduler. */
export type Decision =
  | {
      kind: 'grant';
      requestId: string;
      permitId: string;
      target: TargetView;
      /** Number of prompt tokens expected in the target's cache. */
      cachedTokens: number;
    }
  | {
      kind: 'refuse';
      requestId: string;
      reason: RefusalReason;
      retryAfterMs?: number;
    }
  | {
      kind: 'preempt';
      permitId: string;
      requestId: string;
      /** Whether the follower must comply even if part of the response was relayed. */
      force: boolean;
    };
