import type {TargetEntry} from '../../version/deployment/types.js';
import type {Clock} from '../clock.js';
import {ConnectionEvidence} from './connection-evidence.js';
import {ServiceReach, type Cut, type Opening} from './service-reach.js';

/** Time between two checks from which the process did not run in between, in milliseconds. */
const pauseMs = 250;

/** Receives changes of which services are reached. */
export abstract class ReachObserver {
  /**
   * Called once this host reaches no target of a service any longer.
   *
   * @param service - Name of the service.
   * @param cut - What led to it.
   * @param targets - Number of targets of the service.
   */
  abstract lost(service: string, cut: Cut, targets: number): void;

  /**
   * Called once it reaches targets of the service again.
   *
   * @param service - Name of the service.
   * @param cut - What is over.
   */
  abstract regained(service: string, cut: Cut): void;
}

/** Which services' targets this host reaches. */
export class ReachTable {
  private readonly services = new Map<string, ServiceReach>();
  private readonly cuts = new Map<string, Cut>();
  private checkedAtMs = Infinity;

  /**
   * @param clock - Clock of the process.
   * @param observer - Receives changes.
   */
  constructor(
    private readonly clock: Clock,
    private readonly observer: ReachObserver,
  ) {}

  /** Services with what is known of their targets. */
  get all(): ReadonlyMap<string, ServiceReach> {
    return this.services;
  }

  /** Number of services whose targets are not reached. */
  get cutOff(): number {
    return this.cuts.size;
  }

  /**
   * Looks up what is known of the targets of a service.
   *
   * @param service - Name of the service.
   */
  of(service: string): ServiceReach {
    let reach = this.services.get(service);
    if (!reach) this.services.set(service, (reach = new ServiceReach()));
    return reach;
  }

  /**
   * Checks whether this host reaches no target of a service.
   *
   * @param service - Name of the service.
   */
  isCutOff(service: string): boolean {
    return this.services.get(service)?.cut !== undefined;
  }

  /**
   * Creates what receives the evidence of one connection.
   *
   * @param entry - Target of the connection.
   */
  watch({id, service}: TargetEntry): ConnectionEvidence {
    return new ReachEvidence(this.of(service), id, this.clock);
  }

  /**
   * Decides which services are reached.
   *
   * @param entries - Targets of all services.
   */
  check(entries: Iterable<TargetEntry>): void {
    const nowMs = this.clock.nowMs();
    const byService = new Map<string, TargetEntry[]>();
    for (const entry of entries) {
      if (entry.draining) continue;
      const list = byService.get(entry.service);
      if (list) list.push(entry);
      else byService.set(entry.service, [entry]);
    }
    for (const service of byService.keys()) this.of(service);
    const wasPaused = nowMs - this.checkedAtMs > pauseMs;
    this.checkedAtMs = nowMs;
    for (const [service, reach] of this.services) {
      const targets = byService.get(service);
      if (!targets) {
        this.services.delete(service);
        this.cuts.delete(service);
        continue;
      }
      if (wasPaused) reach.paused(nowMs);
      reach.setTargets(targets);
      reach.check(nowMs);
      this.notify(service, reach);
    }
  }

  private notify(service: string, {cut, targets}: ServiceReach): void {
    const known = this.cuts.get(service);
    if (cut === known) return;
    if (known) this.observer.regained(service, known);
    this.cuts.delete(service);
    if (!cut) return;
    this.cuts.set(service, cut);
    this.observer.lost(service, cut, targets.length);
  }
}

class ReachEvidence extends ConnectionEvidence {
  private current: Opening | undefined;
  private openedAtMs = -Infinity;

  constructor(
    private readonly reach: ServiceReach,
    private readonly target: string,
    private readonly clock: Clock,
  ) {
    super();
  }

  override opening(): void {
    this.current = this.reach.opening(this.target, this.clock.nowMs());
  }

  override opened(): void {
    this.openedAtMs = this.clock.nowMs();
    if (this.current) this.reach.opened(this.current, this.openedAtMs);
  }

  override failed(): void {
    if (!this.current) return;
    this.reach.openingFailed(this.current, this.clock.nowMs());
  }

  override sent(): void {
    this.reach.sent(this.clock.nowMs());
  }

  override received(): void {
    this.reach.received(this.openedAtMs, this.clock.nowMs());
  }

  override reset(): void {
    this.reach.reset(this.target, this.clock.nowMs());
  }

  override get isDoubtful(): boolean {
    return this.reach.isDoubtful(this.openedAtMs);
  }
}
