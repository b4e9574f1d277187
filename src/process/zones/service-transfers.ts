import {LeaveCounter} from './leave-counter.js';
import {
  beginShare,
  excessOf,
  noTransfers,
  planTransfers,
  type TransferPlan,
  type ZoneFigures,
} from './transfer-plan.js';

/** Decides over time how much of a service's load leaves the zone. */
export class ServiceTransfers {
  readonly counter = new LeaveCounter();
  private current: TransferPlan = noTransfers;
  /** Monotonic time since which the load has been beyond what the zone keeps, in milliseconds. */
  private excessSinceMs = Infinity;
  private sends = false;

  /** @param home - Zone of this host. */
  constructor(private readonly home: string) {}

  /** Plan in force. */
  get plan(): TransferPlan {
    return this.current;
  }

  /**
   * Updates the plan. The zone sends only after its load was too high for as long as the figures of other zones may be
   * old: then those hosts know of it too, and send nothing here.
   *
   * @param zones - Figures of all zones that may be used.
   * @param nowMs - Monotonic time, in milliseconds.
   * @param maxAgeMs - Age up to which figures of other zones count, in milliseconds.
   */
  update(
    zones: readonly ZoneFigures[],
    nowMs: number,
    maxAgeMs: number,
  ): TransferPlan {
    const plan = planTransfers(this.home, zones);
    const own = zones.find(({zone}) => zone === this.home);
    if (plan.isHomeless || !own) return (this.current = plan);
    if (excessOf(own) <= 0) {
      this.excessSinceMs = Infinity;
      this.sends = false;
    } else {
      this.excessSinceMs = Math.min(this.excessSinceMs, nowMs);
      const isConfirmed = nowMs - this.excessSinceMs >= maxAgeMs;
      const isHigh = own.offered > beginShare * own.capacity;
      this.sends ||= isConfirmed && isHigh;
    }
    this.current = this.sends ? plan : noTransfers;
    return this.current;
  }
}
