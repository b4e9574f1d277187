import {rendezvousRank} from '../fleet/rendezvous.js';

/** Period over which a target counts its rejections, in milliseconds. */
const rejectionPeriodMs = 1000;
/** Longest time after a rejection in which a host does not try to have more open requests than before, in milliseconds. */
const maxGrowthPauseMs = 30_000;
/** Least number of rejections per second to which hosts spread their next requests after rejections. */
const minSpreadPerSecond = 0.5;

/** What the decision depends on of a brittle target. */
export interface BrittleTarget {
  readonly id: string;
  /** Requests that it runs concurrently. */
  readonly slots: number;
  /** Requests that it may turn away in one second before it fails. */
  readonly rejectionsPerSecond: number;
  /** Open requests of this host there. */
  readonly open: number;
}

/** What this host has seen of one brittle target. */
interface Use {
  /** Monotonic times until which grants may not be used, in milliseconds. */
  heldUntilMs: number[];
  /** Open requests for which the target has had room. */
  proven: number;
  /** Monotonic time until which there must be no more open requests than that, in milliseconds. */
  growAtMs: number;
  /** Whether the target has accepted no request since the last rejection. */
  isRepeated: boolean;
}

/**
 * Limits the open requests of all hosts together at a brittle target, whatever the hosts know about the load of each other.
 * The target's slots, and half of the rejections that it endures in a second, are grants for one open request each,
 * which belong to hosts by rendezvous hashing. The other half covers hosts that do not know each other.
 *
 * A grant whose request was rejected is withheld for a second. At each rejection, all slots are in use under other
 * grants, so that the rejections of one second cannot exceed the grants beyond the slots.
 *
 * Slots may also be in use without a grant, by requests that were sent before the target was brittle. A host therefore
 * adds open requests one by one, and after a rejection it waits before it adds another one.
 */
export class BrittleTargets {
  private readonly uses = new Map<string, Use>();
  private readonly ranks = new Map<string, number>();
  private hosts: readonly string[] = [];

  /** @param host - Name of this host. */
  constructor(private readonly host: string) {}

  /**
   * Checks whether this host may send a request to a target now.
   *
   * @param target - Brittle target.
   * @param hosts - Names of all hosts that may be running, including this one.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  admits(
    target: BrittleTarget,
    hosts: readonly string[],
    nowMs: number,
  ): boolean {
    const {open} = target;
    const use = this.useOf(target);
    const maxOpen = use.proven + (nowMs >= use.growAtMs ? 1 : 0);
    const held = this.heldAt(target.id, nowMs);
    return open < maxOpen && open + held < this.share(target, hosts);
  }

  /**
   * Counts the grants of this host, used, withheld or free.
   *
   * @param target - Brittle target.
   * @param hosts - Names of all hosts that may be running, including this one.
   */
  share(target: BrittleTarget, hosts: readonly string[]): number {
    const count = Math.max(1, hosts.length);
    const total = countGrants(target);
    const isLarger = this.rankAt(target.id, hosts) < total % count;
    return Math.floor(total / count) + (isLarger ? 1 : 0);
  }

  /**
   * Records that a target had no room for a request of this host. Its grant is withheld for the period over which the
   * target counts. Hosts whose requests are rejected at the same time try to add one again one after the other.
   *
   * @param target - Brittle target; its open requests include the rejected one.
   * @param hosts - Names of all hosts that may be running, including this one.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  rejected(
    target: BrittleTarget,
    hosts: readonly string[],
    nowMs: number,
  ): void {
    const use = this.useOf(target);
    use.heldUntilMs.push(nowMs + rejectionPeriodMs);
    use.proven = Math.min(use.proven, Math.max(0, target.open - 1));
    const users = Math.min(hosts.length, countGrants(target));
    const turns = use.isRepeated ? users : this.rankAt(target.id, hosts);
    const perSecond = Math.max(
      minSpreadPerSecond,
      target.rejectionsPerSecond / 3,
    );
    const pauseMs = rejectionPeriodMs + (turns / perSecond) * 1000;
    const growAtMs = nowMs + Math.min(maxGrowthPauseMs, pauseMs);
    use.growAtMs = Math.max(use.growAtMs, growAtMs);
    use.isRepeated = true;
  }

  /**
   * Records that a target had room for a request of this host.
   *
   * @param target - Brittle target.
   */
  accepted(target: BrittleTarget): void {
    const use = this.useOf(target);
    use.isRepeated = false;
    use.proven = Math.max(use.proven, Math.min(target.open, use.proven + 1));
  }

  /**
   * Records that a request ended without its response, so that it may occupy a slot for a little longer.
   *
   * @param target - Brittle target.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  abandoned(target: BrittleTarget, nowMs: number): void {
    this.useOf(target).heldUntilMs.push(nowMs + rejectionPeriodMs);
  }

  /**
   * Drops what is known of a target that was removed or is no longer brittle.
   *
   * @param id - Id of the target.
   */
  forget(id: string): void {
    this.uses.delete(id);
    this.ranks.delete(id);
  }

  /**
   * Counts the grants that are withheld.
   *
   * @param id - Id of the target.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  heldAt(id: string, nowMs: number): number {
    const use = this.uses.get(id);
    if (!use) return 0;
    use.heldUntilMs = use.heldUntilMs.filter(untilMs => untilMs > nowMs);
    return use.heldUntilMs.length;
  }

  private useOf({id, open}: BrittleTarget): Use {
    let use = this.uses.get(id);
    if (!use) {
      use = {
        ...{heldUntilMs: [], proven: open, growAtMs: -Infinity},
        isRepeated: false,
      };
      this.uses.set(id, use);
    }
    return use;
  }

  private rankAt(id: string, hosts: readonly string[]): number {
    if (hosts !== this.hosts) {
      this.hosts = hosts;
      this.ranks.clear();
    }
    let rank = this.ranks.get(id);
    if (rank === undefined) {
      rank = rendezvousRank(id, this.host, hosts);
      this.ranks.set(id, rank);
    }
    return rank;
  }
}

/** Counts the requests that all hosts together may have open at a target. */
function countGrants({
  slots,
  rejectionsPerSecond,
}: Pick<BrittleTarget, 'slots' | 'rejectionsPerSecond'>): number {
  return slots + Math.floor(rejectionsPerSecond / 2);
}
