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

/** Decision logic of a group owner, as `GroupTask` uses it; `GroupScheduler` has this form. */
export abstract class SchedulerCore {
  /** Permits that could be granted now. */
  abstract get freeSlots(): number;
  abstract setTargets(
    targets: readonly TargetView[],
    nowMs: number,
  ): readonly Decision[];
  abstract setShare(share: number, nowMs: number): readonly Decision[];
  abstract offer(req: QueuedRequest, nowMs: number): readonly Decision[];
  abstract cancel(requestId: string, nowMs: number): readonly Decision[];
  abstract progress(
    permitId: string,
    tokens: number,
    firstTokenMs: number | undefined,
    nowMs: number,
  ): readonly Decision[];
  /** Notes that a follower declined a preemption. */
  abstract declined(permitId: string, nowMs: number): readonly Decision[];
  abstract complete(
    permitId: string,
    outcome: AttemptOutcome,
    nowMs: number,
  ): readonly Decision[];
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
  /** Lifts the cold limits of a new owner. */
  abstract recovered(nowMs: number): readonly Decision[];
  abstract setVersionCaps(
    caps: readonly VersionCap[],
    nowMs: number,
  ): readonly Decision[];
  abstract tick(nowMs: number): readonly Decision[];
}
