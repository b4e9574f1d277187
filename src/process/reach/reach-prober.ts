import {
  probeResults,
  type TargetProbe,
} from '../../connection/gateway/target-probe.js';
import type {Clock} from '../clock.js';
import type {ReachTable} from './reach-table.js';
import type {ServiceReach} from './service-reach.js';

/** Number of probes of a service at the same time while it is open whether its targets are reached. */
const maxDoubtProbes = 3;
/** Time between two probes of a service whose targets are not reached, in milliseconds. */
const cutPauseMs = 300;
/** Time between two probes of a service without failures, in milliseconds. */
const quietPauseMs = 500;
/** Time without a sign of life after which targets are probed for other hosts or services, in milliseconds. */
const staleMs = 700;
/** Number of hosts per target above which each of them probes less often. */
const hostsPerTarget = 10;

interface Progress {
  readonly targets: Set<string>;
  begunAtMs: number;
}

/** Opens connections to targets to find out whether this host reaches them. */
export class ReachProber {
  private readonly progress = new Map<string, Progress>();

  /**
   * @param clock - Clock of the process.
   * @param random - Random number in [0, 1).
   * @param table - Receives the results.
   * @param probe - Opens the connections.
   * @param hosts - Returns the number of hosts.
   * @param isAsked - Whether another host has lost the targets of a service.
   */
  constructor(
    private readonly clock: Clock,
    private readonly random: () => number,
    private readonly table: ReachTable,
    private readonly probe: TargetProbe,
    private readonly hosts: () => number,
    private readonly isAsked: (service: string) => boolean,
  ) {}

  /** Starts the probes that are due. */
  run(): void {
    for (const service of this.progress.keys()) {
      if (!this.table.all.has(service)) this.progress.delete(service);
    }
    for (const [service, reach] of this.table.all) this.runOf(service, reach);
  }

  private runOf(service: string, reach: ServiceReach): void {
    const nowMs = this.clock.nowMs();
    let progress = this.progress.get(service);
    if (!progress) {
      progress = {targets: new Set(), begunAtMs: -Infinity};
      this.progress.set(service, progress);
    }
    if (!reach.cut && reach.hasFailedOpenings) {
      // A probe that counts as failed makes room for the next one, although it may still be accepted.
      const undecided = [...progress.targets].filter(
        id => !reach.hasFailed(id),
      );
      for (let i = undecided.length; i < maxDoubtProbes; i++) {
        this.start(reach, progress, nowMs);
      }
      return;
    }
    // A host that has lost one service has probably lost the others, though no request may have shown it yet.
    const isWanted = this.table.cutOff > 0 || this.isAsked(service);
    const isStale = isWanted && nowMs - reach.contactAtMs >= staleMs;
    if (!reach.cut && !isStale && !reach.isSuspect(nowMs)) return;
    if (progress.targets.size > 0) return;
    const crowd = this.hosts() / (hostsPerTarget * reach.targets.length);
    const pauseMs =
      (reach.cut ? cutPauseMs : quietPauseMs) * Math.max(1, crowd);
    if (nowMs - progress.begunAtMs >= pauseMs) {
      this.start(reach, progress, nowMs);
    }
  }

  /** Probes a random target that has not failed, or any one while none is reached. */
  private start(reach: ServiceReach, progress: Progress, nowMs: number): void {
    const open = reach.targets.filter(
      ({id}) =>
        !progress.targets.has(id) &&
        (reach.cut !== undefined || !reach.hasFailed(id)),
    );
    if (open.length === 0) return;
    const {id, address} = open[Math.floor(this.random() * open.length)];
    progress.targets.add(id);
    progress.begunAtMs = nowMs;
    const opening = reach.opening(id, nowMs);
    void this.probe.probe(address).then(result => {
      progress.targets.delete(id);
      const endMs = this.clock.nowMs();
      if (result === probeResults.accepted) reach.opened(opening, endMs);
      else reach.openingFailed(opening, endMs);
    });
  }
}
