/** What may be repeated of a request. */
export const requestKinds = {
  /** May run more than once. */
  idempotent: 'idempotent',
  /** May run at most once. */
  nonIdempotent: 'non-idempotent',
  /** Answered by a stream of events; may run at most once unless the route resumes streams. */
  stream: 'stream',
} as const;

/** Kind of the requests of a route. */
export type RequestKind = (typeof requestKinds)[keyof typeof requestKinds];

/** Part of a route's requests that goes to one service. */
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

/** Which requests go to which services, and what callers may expect. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Time to the answer, or to the first event of a stream, that callers aim at, in milliseconds. */
  readonly objectiveMs: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly services: readonly ServiceShare[];
  /** Greatest number of targets that may run one request. */
  readonly maxRuns: number;
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
  readonly resumable: boolean;
  /** Regions whose targets may be used; empty for all. */
  readonly regions: readonly string[];
}

/** Model engine properties that all targets of a service share. */
export interface EngineConfig {
  /** Requests that one engine runs at once. */
  readonly slots: number;
  /** Memory for running requests and cached prompt parts, in tokens. */
  readonly memoryTokens: number;
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number;
}

/** A service that requests are sent to. */
export interface ServiceConfig {
  readonly name: string;
  /** Connections that one target accepts from all hosts together; 0 if not limited. */
  readonly maxConnections: number;
  /** Requests a second that a cold target bears from all hosts together; 0 if not limited. */
  readonly coldPerSecond: number;
  /** Present for model engines. */
  readonly engine?: EngineConfig;
}

/** An organisation, its keys and its quota. */
export interface Organisation {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the rank of the route. */
  readonly rank?: number;
  /** Whether the quota counts tokens instead of requests. */
  readonly countsTokens: boolean;
  /** Tokens that a request without a stated number counts. */
  readonly plainTokens: number;
  /** Units a second over all hosts; 0 for no limit. */
  readonly ratePerSecond: number;
  /** Units that may be used at once after a pause, over all hosts. */
  readonly burst: number;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A configuration as a whole. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceConfig[];
  /** Empty if callers need no keys. */
  readonly organisations: readonly Organisation[];
  readonly limits: CallerLimits;
}

/** A target as it describes itself. */
export interface TargetEntry {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  /** Version of the software that the target runs. */
  readonly version: string;
  readonly slots: number;
  readonly draining: boolean;
  /** Time for which the target remains cold after the entry was written, in milliseconds. */
  readonly coldMs: number;
  /** Unix time of the start of the target, in milliseconds; 0 if not stated. */
  readonly bornMs: number;
}

/** An order to move a service to another version. */
export interface RolloutOrder {
  readonly service: string;
  readonly version: string;
  readonly durationMs: number;
}

/** State of a rollout in its status record. */
export const rolloutStates = {
  running: 'running',
  completed: 'completed',
  rolledBack: 'rolled-back',
} as const;

/** One of {@link rolloutStates}. */
export type RolloutState = (typeof rolloutStates)[keyof typeof rolloutStates];

/** Status of a rollout as recorded. */
export interface RolloutStatus {
  readonly service: string;
  readonly version: string;
  readonly state: RolloutState;
}

/** A host as it registered itself. */
export interface HostEntry {
  readonly host: string;
  readonly ip: string;
  readonly zone: string;
}

/** A change that a record of the shared log stands for; `undefined` values are removals. */
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
