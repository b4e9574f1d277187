import type {Tier} from '../../version/resources/kinds.js';
import type {RefusalReason} from '../refusals.js';

/** A target as a group owner sees it. */
export interface TargetView {
  readonly name: string;
  readonly service: string;
  readonly zone: string;
  /** Base URL. */
  readonly address: string;
  readonly version: string;
  readonly hardware: string;
  /** Upper bound of requests in flight over all hosts. */
  readonly maxConcurrency: number;
  /** Requests in flight that the target can handle while it is cold. */
  readonly coldConcurrency: number;
  /** Targets that are not usable finish their work and get no more. */
  readonly usable: boolean;
}

/** Limits of one version during a rollout. */
export interface VersionCap {
  readonly version: string;
  /** Greatest share of new grants, 0 to 1. */
  readonly share: number;
  /** Greatest number of permits outstanding at this owner. */
  readonly inFlight: number;
}

/** A request that waits for a permit. */
export interface QueuedRequest {
  /** Unique in the fleet. */
  readonly id: string;
  /** Host that asks. */
  readonly host: string;
  readonly service: string;
  /** Route within the service, for evidence and circuit breaking. */
  readonly route: string;
  readonly organisation: string;
  /** Weight of the organisation in its tier. */
  readonly weight: number;
  readonly tier: Tier;
  readonly idempotent: boolean;
  /** Time left until the deadline when the request was offered, in milliseconds. */
  readonly timeoutMs: number;
  /** Prompt length estimate, in tokens; 1 for plain services. */
  readonly promptTokens: number;
  /** Upper bound of generated tokens stated by the caller, if any. */
  readonly maxTokens?: number;
  /** Whether a model's answer arrives only as a whole, so that its first token is not seen. */
  readonly wholeAnswer?: boolean;
  /** Hashes of the prompt's prefixes at block boundaries, shortest first. */
  readonly prefixes: readonly string[];
  /** Number of earlier attempts; first tries go before retries of the same tier. */
  readonly attempt: number;
  /** Targets that failed this request; used again only if no other is left. */
  readonly avoid: readonly string[];
}

/** A permit that a follower holds when it follows a new owner. */
export interface OutstandingPermit {
  readonly permitId: string;
  readonly request: QueuedRequest;
  readonly target: string;
  /** Time since the grant, in milliseconds. */
  readonly ageMs: number;
  /** Tokens generated so far. */
  readonly tokens: number;
}

/** How an attempt ended, as reported to the owner. */
export interface AttemptOutcome {
  readonly result:
    | 'ok'
    | 'not-started'
    | 'busy'
    | 'failed'
    | 'broken'
    | 'cancelled'
    | 'crashed';
  /** Time from dispatch to the first token or answer byte, in milliseconds. */
  readonly firstTokenMs?: number;
  /** Time from dispatch to the end, in milliseconds. */
  readonly totalMs: number;
  /** Generated tokens, or 1 for a plain service. */
  readonly tokens: number;
  /** Prompt tokens that the engine took from its cache, if it says so. */
  readonly cachedTokens?: number;
}

/** Load that a target reports, with a lag. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  /** Age of the figures when they were read, in milliseconds. */
  readonly ageMs: number;
  /** Share of the KV cache in use, 0 to 1. */
  readonly cacheUse: number;
  /** Increases with each start of the engine; a new value means a cold cache. */
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
      /** Whether part of the prompt is expected in the target's cache. */
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
      /** Whether the follower must obey even if part of the answer was relayed. */
      force: boolean;
    };
