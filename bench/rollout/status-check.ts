import {
  bucketMs,
  type EvidenceStore,
} from '../../src/version/evidence/evidence-store.js';
import {isCanary} from '../../src/version/rollout/rollout-state.js';
import type {RolloutStatus} from '../../src/version/rollout/status.js';
import type {Simulation} from './simulate.js';

/** Time that news need to reach all hosts, in milliseconds. */
const settleMs = 3000;

/** Compares the statuses that hosts report with the state of the model. */
export class StatusCheck {
  /** Statuses that were false. */
  readonly found = new Set<string>();
  /** Greatest number of requests in flight on the new version during the canary step. */
  canaryPeak = 0;
  private stableSince = 0;
  private lastState = '';

  /** Checks the hosts of a simulation. */
  constructor(
    private readonly sim: Simulation,
    private readonly full: EvidenceStore,
    private readonly rollout: string,
  ) {}

  /** Checks all running hosts once. */
  look(): void {
    const nowMs = this.sim.clock.nowMs();
    const entry = this.sim.entry();
    const now = `${entry?.phase} ${entry?.step}`;
    if (now !== this.lastState) {
      this.lastState = now;
      this.stableSince = nowMs;
    }
    if (entry && isCanary(entry)) {
      const running = this.sim.traffic.running.get('v2') ?? 0;
      this.canaryPeak = Math.max(this.canaryPeak, running);
    }
    for (const {id, task, clock} of this.sim.hosts) {
      if (!clock.running) continue;
      const status = task.status(this.rollout);
      if (!status) continue;
      const wrong = this.wrong(status, nowMs);
      if (wrong) this.found.add(`${wrong} (${id}, ${status.state})`);
    }
  }

  private wrong(status: RolloutStatus, nowMs: number): string | undefined {
    const {traffic} = this.sim;
    const {state, measuredShare} = status;
    const since = (version: string) =>
      nowMs - (traffic.lastDispatch.get(version) ?? -Infinity);
    if (state === 'TakenBack') {
      if ((traffic.running.get('v2') ?? 0) > 0)
        return 'taken back, but the new version has requests';
      if (since('v2') < settleMs && this.stableSince + settleMs < nowMs)
        return 'taken back, but the new version got new work';
    }
    const finished = state === 'Completed' || state === 'Done';
    if (
      finished &&
      !status.stoppedHere &&
      since('v1') < settleMs &&
      this.stableSince + settleMs < nowMs
    )
      return 'completed, but the old version got new work';
    if (
      status.allowedShare === 0 &&
      since('v2') < settleMs &&
      this.stableSince + settleMs < nowMs &&
      !status.stoppedHere
    )
      return 'share 0, but the new version got new work';
    return measuredShare === undefined
      ? undefined
      : this.wrongShare(measuredShare);
  }

  /** The measured share may differ by the requests whose counters are still on their way. */
  private wrongShare(measured: number): string | undefined {
    const current = Math.floor(this.sim.clock.wallMs() / bucketMs);
    let all = 0;
    let fresh = 0;
    for (let bucket = current - 2; bucket <= current; bucket++) {
      for (const cell of this.full.cells('assistant', bucket)) {
        all += cell.requests;
        if (cell.place.version === 'v2') fresh += cell.requests;
      }
    }
    if (all < 30) return undefined;
    const off = Math.abs(measured - fresh / all);
    return off > 0.1 + 1 / Math.sqrt(all)
      ? `measured share ${measured.toFixed(2)} instead of ${(fresh / all).toFixed(2)}`
      : undefined;
  }
}
