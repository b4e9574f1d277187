import {rendezvousRank} from '../fleet/rendezvous.js';

/**
 * Assigns the slots of targets to hosts, so that hosts whose gossip arrives late do not all send to the
 * same recently idle target. Each slot of a target belongs to one host, chosen by rendezvous hashing,
 * so that all hosts agree on it without messages.
 */
export class SlotShares {
  private hosts: readonly string[] = [];
  private readonly shares = new Map<string, number>();

  /** @param host - Name of this host, whose slots are counted. */
  constructor(protected readonly host: string) {}

  /**
   * Sets the hosts among which slots are divided.
   *
   * @param hosts - Names of all hosts, including this one, in any order.
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
   * @param slots - Number of slots of the target.
   * @param _service - Name of the service of the target.
   * @param _zone - Zone of the target.
   * @returns Number of slots.
   */
  of(target: string, slots: number, _service?: string, _zone?: string): number {
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
   * Drops the cached share of a target that no longer exists.
   *
   * @param target - Id of the target.
   */
  forget(target: string): void {
    this.shares.delete(target);
  }
}
