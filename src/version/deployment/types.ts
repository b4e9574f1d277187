import type {PoolScaling} from '../../process/pool-size/pool-scaling.js';

/** Kinds of requests by what may be retried. */
export const requestKinds = {
  /** May be executed more than once. */
  idempotent: 'idempotent',
  /** May be executed at most once. */
  nonIdempotent: 'non-idempotent',
  /** The response is a stream of events; may be executed at most once unless the route is resumable. */
  stream: 'stream',
} as const;

/** Kind of the requests of a route. */
export type RequestKind = (typeof requestKinds)[keyof typeof requestKinds];

/** A service of a route and its weight. */
export interface ServiceShare {
  readonly service: string;
  /** Relative to the weights of the other services of the route. */
  readonly weight: number;
}

/** Route of requests by host name and path to services, with the limits and objectives of its requests. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Maximum time until a caller gets a response, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective: time to the response, or to the first event of a stream, in milliseconds. */
  readonly objectiveMs: number;
  /** Pause between the events of a stream for which its response is still on time, in milliseconds, if stated. */
  readonly gapMs?: number;
  /** Priority; 0 is the highest. */
  readonly rank: number;
  readonly services: readonly ServiceShare[];
  /** Maximum number of targets on which one request may be executed. */
  readonly maxRuns: number;
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
  /** Whether an interrupted stream may be continued on another target. */
  readonly resumable: boolean;
  /** Regions whose targets may be used; empty for all. */
  readonly regions: readonly string[];
}

/** Properties of the model engines of a service; the same for all its targets. */
export interface EngineConfig {
  /** Maximum number of requests that one engine runs at the same time. */
  readonly slots: number;
  /** Memory for running requests and cached prompt prefixes, in tokens. */
  readonly memoryTokens: number;
  /** Number of tokens in one event of a stream. */
  readonly tokensPerEvent: number;
}

/** A service and the properties of its targets. */
export interface ServiceConfig {
  readonly name: string;
  /** Maximum number of connections of all hosts together to one target; 0 for no limit. */
  readonly maxConnections: number;
  /** Maximum rate of requests of all hosts together to one cold target, per second; 0 for no limit. */
  readonly coldPerSecond: number;
  /** Present for model engines. */
  readonly engine?: EngineConfig;
  /** Present if the number of its targets can be ordered. */
  readonly scaling?: PoolScaling;
  /** Why the stated bounds of that number cannot be used, with the name of the key. */
  readonly scalingError?: string;
}

/** An organisation, its keys and its quota. */
export interface Organisation {
  readonly name: string;
  readonly keys: readonly string[];
  /** Priority of its requests, in addition to the rank of the route; 0 is the highest. */
  readonly rank?: number;
  /** Whether the unit of the quota is the token instead of the request. */
  readonly countsTokens: boolean;
  /** Tokens that are charged for a request that does not state its number of tokens. */
  readonly plainTokens: number;
  /** Quota of all hosts together, in units per second; 0 for no limit. */
  readonly ratePerSecond: number;
  /** Maximum burst over all hosts together, in units. */
  readonly burst: number;
}

/** Limits on the requests and connections of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceConfig[];
  /** Whether callers need an API key of an organisation on routes that are not public. */
  readonly needsKeys: boolean;
  readonly organisations: readonly Organisation[];
  readonly limits: CallerLimits;
}

/** Entry that a target writes about itself. */
export interface TargetEntry {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  /** Software version of the target. */
  readonly version: string;
  /** Maximum number of requests that the target runs at the same time. */
  readonly slots: number;
  /** Whether the target is about to stop and gets no new requests. */
  readonly draining: boolean;
  /** Remaining time for which the target is cold when the entry is written, in milliseconds. */
  readonly coldMs: number;
  /** Unix time at which the target started, in milliseconds; 0 if unknown. */
  readonly bornMs: number;
}

/** Order of an operator to roll a service out to another version. */
export interface RolloutOrder {
  readonly service: string;
  readonly version: string;
  /** Time by which the rollout has to be finished, from the order, in milliseconds. */
  readonly durationMs: number;
}

/** States of a rollout as recorded in the store. */
export const rolloutStates = {
  running: 'running',
  completed: 'completed',
  rolledBack: 'rolled-back',
} as const;

/** One of {@link rolloutStates}. */
export type RolloutState = (typeof rolloutStates)[keyof typeof rolloutStates];

/** Recorded status of a rollout. */
export interface RolloutStatus {
  readonly service: string;
  readonly version: string;
  readonly state: RolloutState;
}

/** Entry that a host writes when it registers itself. */
export interface HostEntry {
  readonly host: string;
  readonly ip: string;
  readonly zone: string;
}

/** Decoded record of a log of the store; an absent order, status or entry is a removal. */
export type Change =
  | {readonly kind: 'configuration'; readonly configuration: Configuration}
  | {
      readonly kind: 'rollout-order';
      readonly service: string;
      readonly order?: RolloutOrder;
    }
  | {
      readonly kind: 'evacuation';
      readonly zone: string;
      readonly active: boolean;
    }
  | {
      readonly kind: 'target';
      readonly id: string;
      readonly entry?: TargetEntry;
    }
  | {
      readonly kind: 'rollout-status';
      readonly service: string;
      readonly status?: RolloutStatus;
    }
  | {
      readonly kind: 'host';
      readonly host: string;
      readonly entry?: HostEntry;
    }
  | {
      readonly kind: 'unreadable';
      readonly key: string;
      readonly reason: string;
    };
