import type {Clock} from '../clock.js';
import type {Logger} from '../logger.js';
import type {BrittleServices} from './brittle-services.js';
import {BrittleTargets, type BrittleTarget} from './brittle-targets.js';
import {outcomes, type Outcome, type PooledTarget} from './pooled-target.js';

/** Status with which a target turns a request away for want of room. */
const noRoomStatus = 503;
/** Minimum time between two log lines about failures of one brittle target, in milliseconds. */
const fellLogIntervalMs = 5000;
/** Period over which the rejections of one target are counted, in milliseconds. */
const countMs = 1000;

/** Dependencies of the use of brittle targets. */
export interface BrittleUseParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly host: string;
  /** Names of all hosts that may be running, including this one. */
  readonly hosts: () => readonly string[];
  /** Whether all hosts that may be running are known; assumed if absent. */
  readonly knowsHosts?: () => boolean;
  /** Called with the number of requests of this host that one brittle target turned away within a second. */
  readonly onBrittleRejections?: (count: number) => void;
}

/** What a response says about the room at its target. */
export interface ResponseRoom {
  readonly status?: number;
  /** Whether the target reports that it did not run the request. */
  readonly notRun?: boolean;
}

/** Applies {@link BrittleTargets} to the targets of a pool. Targets that are not brittle are used as if it did not exist. */
export class BrittleUse {
  private readonly targets: BrittleTargets;
  private readonly known = new Set<string>();
  private readonly rejections = new Map<string, number>();
  private readonly fellAtMs = new Map<string, number>();

  /**
   * @param parts - Dependencies.
   * @param services - Services whose targets are brittle.
   */
  constructor(
    private readonly parts: BrittleUseParts,
    private readonly services: BrittleServices,
  ) {
    this.targets = new BrittleTargets(parts.host);
  }

  /**
   * Checks whether this host may send a request to a target now.
   *
   * @param target - Target, brittle or not.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  admits(target: PooledTarget, nowMs: number): boolean {
    const view = this.viewOf(target);
    if (!view) return true;
    const {hosts, knowsHosts} = this.parts;
    // A host that takes itself for the only one would use the grants of all.
    if (knowsHosts?.() === false) return false;
    return this.targets.admits(view, hosts(), nowMs);
  }

  /**
   * Checks whether this host has a grant at a target for another request.
   *
   * @param target - Target, brittle or not.
   * @returns `undefined` if the target is not brittle.
   */
  hasShare(target: PooledTarget): boolean | undefined {
    const view = this.viewOf(target);
    return view && this.targets.share(view, this.parts.hosts()) > view.open;
  }

  /**
   * Records whether a target had room for a request, which is still counted as open.
   *
   * @param target - Target, brittle or not.
   * @param room - Content of the response.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  responded(
    target: PooledTarget,
    {status, notRun}: ResponseRoom,
    nowMs: number,
  ): void {
    const view = this.viewOf(target);
    if (!view) return;
    if (!notRun) return this.targets.accepted(view);
    if (status !== noRoomStatus) return;
    this.targets.rejected(view, this.parts.hosts(), nowMs);
    this.countRejection(view.id);
  }

  /**
   * Records how a request ended at a target.
   *
   * @param target - Target, brittle or not.
   * @param outcome - How the request ended.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  released(target: PooledTarget, outcome: Outcome, nowMs: number): void {
    const view = this.viewOf(target);
    if (!view) return;
    if (outcome === outcomes.cancelled || outcome === outcomes.failed) {
      this.targets.abandoned(view, nowMs);
    }
    if (outcome === outcomes.unreachable) this.logFall(target, nowMs);
  }

  /**
   * Drops what is known of a target that was removed.
   *
   * @param id - Id of the target.
   */
  forget(id: string): void {
    if (this.known.delete(id)) this.targets.forget(id);
    this.fellAtMs.delete(id);
  }

  /**
   * Checks whether the targets of a service are brittle.
   *
   * @param service - Name of the service.
   */
  isBrittle(service: string): boolean {
    return this.services.of(service).rejectionsPerSecond !== undefined;
  }

  private viewOf(target: PooledTarget): BrittleTarget | undefined {
    const {id} = target.entry;
    const {rejectionsPerSecond} = target.stated;
    if (rejectionsPerSecond === undefined) {
      if (this.known.size > 0) this.forget(id);
      return undefined;
    }
    this.known.add(id);
    const {localRequests: open, slots} = target;
    return {id, slots, rejectionsPerSecond, open};
  }

  private countRejection(id: string): void {
    const count = this.rejections.get(id) ?? 0;
    this.rejections.set(id, count + 1);
    if (count > 0) return;
    const {clock, onBrittleRejections} = this.parts;
    clock.after(countMs, () => {
      onBrittleRejections?.(this.rejections.get(id) ?? 0);
      this.rejections.delete(id);
    });
  }

  private logFall({entry: {id, service}}: PooledTarget, nowMs: number): void {
    if (nowMs - (this.fellAtMs.get(id) ?? -Infinity) < fellLogIntervalMs) {
      return;
    }
    this.fellAtMs.set(id, nowMs);
    const rejections = this.rejections.get(id) ?? 0;
    this.parts.logger.event('brittleTargetFell', {
      ...{target: id, service, rejections},
    });
  }
}
