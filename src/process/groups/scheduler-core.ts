import type {
  AttemptOutcome,
  CacheEvent,
  Decision,
  LoadReport,
  OutstandingPermit,
  QueuedRequest,
  TargetView,
  VersionCap,
} from '../../request/scheduler/types.js';

/** Scheduling logic of a group owner; implemented by `GroupScheduler` and called by `GroupTask`. */
export abstract class SchedulerCore {
  /** Number of permits that could be granted now. */
  abstract get freeSlots(): number;
  abstract setTargets(
    targets: readonly TargetView[],
    nowMs: number,
  ): readonly Decision[];
  /** Sets the share of the targets' limits that this owner may use, from 0 to 1. */
  abstract setShare(share: number, nowMs: number): readonly Decision[];
  abstract offer(req: QueuedRequest, nowMs: number): readonly Decision[];
  abstract cancel(requestId: string, nowMs: number): readonly Decision[];
  abstract progress(
    permitId: string,
    tokens: number,
    firstTokenMs: number | undefined,
    nowMs: number,
  ): readonly Decision[];
  /** Handles that a follower declined a preemption. */
  abstract declined(permitId: string, nowMs: number): readonly Decision[];
  abstract complete(
    permitId: string,
    outcome: AttemptOutcome,
    nowMs: number,
  ): readonly Decision[];
  /** Adds a permit that a follower holds from an earlier owner. */
  abstract adopt(permit: OutstandingPermit, nowMs: number): readonly Decision[];
  abstract loadReport(
    target: string,
    report: LoadReport,
    nowMs: number,
  ): readonly Decision[];
  abstract cacheEvent(
    target: string,
    event: CacheEvent,
    nowMs: number,
  ): readonly Decision[];
  /** Lifts the cold limits of a new owner once all outstanding permits are known. */
  abstract recovered(nowMs: number): readonly Decision[];
  abstract setVersionCaps(
    caps: readonly VersionCap[],
    nowMs: number,
  ): readonly Decision[];
  abstract tick(nowMs: number): readonly Decision[];
}
