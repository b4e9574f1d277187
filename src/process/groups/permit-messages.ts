import type {RefusalReason} from '../../request/refusals.js';
import type {
  AttemptOutcome,
  QueuedRequest,
} from '../../request/scheduler/types.js';

/**
 * A request sent to an owner. Host and serial together identify the request and its permit. Each
 * call of `acquire` has its own serial, so a late grant can't be mistaken for one of a later attempt.
 */
export interface WaitingRequest {
  readonly serial: number;
  readonly request: QueuedRequest;
}

/** A permit that a follower holds. */
export interface HeldPermit {
  readonly serial: number;
  readonly request: QueuedRequest;
  readonly target: string;
  /** Time since the grant, in milliseconds. */
  readonly ageMs: number;
  readonly tokens: number;
}

/**
 * Messages of a follower to an owner. The follower chooses a new `ref` for each `follow`; messages
 * with an earlier ref are ignored.
 */
export type FollowerMessage =
  | {
      kind: 'follow';
      ref: number;
      group: string;
      /** Whether the follower is in another zone; it then contributes no share of the limits. */
      foreign: boolean;
      /** Number of live hosts in the group's zone, as the follower knows it. */
      zoneHosts: number;
      outstanding: readonly HeldPermit[];
      waiting: readonly WaitingRequest[];
      /** Whether this message completes the lists, which may be split over several. */
      last: boolean;
    }
  /** The follower's former owner no longer uses its share; `settled` as in `unfollowed`. */
  | {kind: 'share'; ref: number; settled: boolean}
  | {kind: 'request'; ref: number; waiting: WaitingRequest}
  | {kind: 'cancel'; ref: number; serial: number}
  | {
      kind: 'progress';
      ref: number;
      serial: number;
      tokens: number;
      firstTokenMs?: number;
    }
  /** The follower keeps a preempted permit, because part of the response was relayed. */
  | {kind: 'declined'; ref: number; serial: number}
  | {kind: 'release'; ref: number; serial: number; outcome: AttemptOutcome}
  | {kind: 'unfollow'; ref: number}
  | {kind: 'zoneHosts'; ref: number; zoneHosts: number};

/** Messages of an owner to a follower. */
export type OwnerMessage =
  | {
      kind: 'grant';
      ref: number;
      serial: number;
      target: string;
      cachedTokens: number;
    }
  | {
      kind: 'refuse';
      ref: number;
      serial: number;
      reason: RefusalReason;
      retryAfterMs?: number;
    }
  /** Preempts a permit; without `force` the follower may decline. */
  | {kind: 'preempt'; ref: number; serial: number; force: boolean}
  /**
   * The owner no longer uses the follower's share. `held`: whether it had it. `settled`: whether
   * hosts of other zones have had time to list their permits and none of theirs is outstanding.
   */
  | {kind: 'unfollowed'; ref: number; held: boolean; settled: boolean}
  /** The owner is leaving; the follower switches to the next one. */
  | {kind: 'handOver'; ref: number}
  | {kind: 'freeSlots'; ref: number; slots: number};

/** A message with its sequence number on the link. */
export interface PermitFrame {
  /** 1 for the first frame in a direction; a gap means that a frame was lost. */
  readonly sequence: number;
  /** Absent in a heartbeat. */
  readonly body?: FollowerMessage | OwnerMessage;
}
