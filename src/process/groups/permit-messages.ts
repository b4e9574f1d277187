import type {RefusalReason} from '../../request/refusals.js';
import type {
  AttemptOutcome,
  QueuedRequest,
} from '../../request/scheduler/types.js';

/**
 * A request on its way to an owner. The pair of host and serial names both the request and its
 * permit; a serial is used for one call of `acquire` only, so a late grant can't be taken for that
 * of a later attempt.
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

/** `ref` is chosen by the follower for each `follow`; messages with an earlier ref are void. */
export type FollowerMessage =
  | {
      kind: 'follow';
      ref: number;
      group: string;
      /** Whether the follower is in another zone; it then brings no share. */
      foreign: boolean;
      /** Live hosts of the group's zone, as the follower knows them. */
      zoneHosts: number;
      outstanding: readonly HeldPermit[];
      waiting: readonly WaitingRequest[];
      /** Whether this part ends the lists. */
      last: boolean;
    }
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
  /** The follower keeps a preempted permit, because part of the answer was relayed. */
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
  /** Takes a permit back; without `force` the follower may decline. */
  | {kind: 'preempt'; ref: number; serial: number; force: boolean}
  /** The owner no longer uses the follower's share; `held` says whether it had it. */
  | {kind: 'unfollowed'; ref: number; held: boolean; settled: boolean}
  /** The owner is leaving; the follower moves to the next one. */
  | {kind: 'handOver'; ref: number}
  | {kind: 'freeSlots'; ref: number; slots: number};

/** A message with its position on the link. */
export interface PermitFrame {
  /** 1 for the first frame in a direction; a gap means that a frame was lost. */
  readonly sequence: number;
  /** Absent in a heartbeat. */
  readonly body?: FollowerMessage | OwnerMessage;
}
