import {SchedulerCore} from '../../../src/process/groups/scheduler-core.js';
import type {
  Decision,
  OutstandingPermit,
  QueuedRequest,
  TargetView,
} from '../../../src/request/scheduler/types.js';

/** Scheduler for tests: grants in order of arrival, up to floor(limit × share) for each target. */
export class FifoCore extends SchedulerCore {
  private targets: readonly TargetView[] = [];
  private share = 0;
  private recovering = true;
  private readonly queue = new Map<string, QueuedRequest>();
  private readonly permits = new Map<string, string>();
  private sequence = 0;

  constructor(private readonly name: string) {
    super();
  }

  override setTargets(targets: readonly TargetView[]) {
    this.targets = targets;
    return this.grant();
  }

  override setShare(share: number) {
    this.share = share;
    return this.grant();
  }

  override offer(req: QueuedRequest) {
    this.queue.set(req.id, req);
    return this.grant();
  }

  override cancel(requestId: string): Decision[] {
    this.queue.delete(requestId);
    return [];
  }

  override progress(): Decision[] {
    return [];
  }

  override complete(permitId: string) {
    this.permits.delete(permitId);
    return this.grant();
  }

  override adopt(permit: OutstandingPermit): Decision[] {
    this.permits.set(permit.permitId, permit.target);
    return [];
  }

  override loadReport(): Decision[] {
    return [];
  }

  override cacheEvent(): Decision[] {
    return [];
  }

  override declined(): Decision[] {
    return [];
  }

  override recovered() {
    this.recovering = false;
    return this.grant();
  }

  override setVersionCaps(): Decision[] {
    return [];
  }

  override get freeSlots(): number {
    return this.targets.reduce((sum, t) => sum + Math.max(0, this.free(t)), 0);
  }

  override tick() {
    return this.grant();
  }

  private grant(): Decision[] {
    const decisions: Decision[] = [];
    const usable = this.targets.filter(target => target.usable);
    for (const req of this.queue.values()) {
      if (this.targets.length > 0 && usable.length === 0) {
        this.queue.delete(req.id);
        decisions.push({
          kind: 'refuse',
          requestId: req.id,
          reason: 'no-target',
        });
        continue;
      }
      const target = usable
        .filter(t => !req.avoid.includes(t.name) && this.free(t) > 0)
        .sort((a, b) => this.free(b) - this.free(a))[0];
      if (!target) continue;
      this.queue.delete(req.id);
      const permitId = `${this.name}-${++this.sequence}`;
      this.permits.set(permitId, target.name);
      decisions.push({
        kind: 'grant',
        requestId: req.id,
        permitId,
        target,
        cachedTokens: 0,
      });
    }
    return decisions;
  }

  private free(target: TargetView): number {
    let used = 0;
    for (const name of this.permits.values()) if (name === target.name) used++;
    const limit = this.recovering
      ? Math.min(target.maxConcurrency, target.coldConcurrency)
      : target.maxConcurrency;
    const slots = Math.floor(limit * this.share + 1e-9);
    return (this.share > 0.5 ? Math.max(1, slots) : slots) - used;
  }
}
