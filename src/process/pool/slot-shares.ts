import {rendezvousRank} from '../fleet/rendezvous.js';

/**
 * Assigns the slots of targets to hosts, so that hosts which hear of each other's requests late do not all
 * send to the target that was idle a moment ago. Each slot of a target belongs to one host, chosen by
 * hashing; without any message all hosts agree on it.
 */
export class SlotShares {
  private hosts: readonly string[] = [];
  private readonly shares = new Map<string, number>();

  /** @param host - Name of this host. */
  constructor(private readonly host: string) {}

  /**
   * Takes over which hosts share the targets.
   *
   * @param hosts - Names of all hosts, this one included.
   */
  setHosts(hosts: readonly string[]): void {
    const sorted = [...hosts].sort();
    if (
      sorted.length === this.hosts.length &&
      sorted.every((name, i) => name === this.hosts[i])
    ) {
      return;
    }
    this.hosts = sorted;
    this.shares.clear();
  }

  /**
   * Counts the slots of a target that belong to this host.
   *
   * @param target - Id of the target.
   * @param slots - Slots of the target.
   */
  of(target: string, slots: number): number {
    const known = this.shares.get(target);
    if (known !== undefined) return known;
    const count = Math.max(1, this.hosts.length);
    const rank = rendezvousRank(target, this.host, this.hosts);
    const rest = slots % count;
    const share = Math.floor(slots / count) + (rank < rest ? 1 : 0);
    this.shares.set(target, share);
    return share;
  }

  /**
   * Forgets a target.
   *
   * @param target - Id of the target.
   */
  forget(target: string): void {
    this.shares.delete(target);
  }
}
