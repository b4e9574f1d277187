import type {MemberTable} from './member-table.js';
import {
  probeHeadBytes,
  updateBytes,
  zoneAgeBytes,
  type MemberUpdate,
  type PeerIdentity,
  type Probe,
  type ZoneAge,
} from './messages.js';
import {bounds, timing} from './timing.js';
import type {UpdateQueue} from './update-queue.js';

/** Fills probes up to the size limit: queued updates, then zone ages, then one refreshed member. */
export class ProbeWriter {
  /** When zone ages were last sent to each host; monotonic time in milliseconds. */
  private readonly agesSentAt = new Map<string, number>();
  /** Members of the local zone, and of other zones, that the current round has yet to refresh. */
  private readonly localCursor: string[] = [];
  private readonly remoteCursor: string[] = [];
  private refreshCount = 0;

  /**
   * @param selfZone - Zone of this host.
   * @param table - Known members.
   * @param queue - Updates to gossip.
   */
  constructor(
    private readonly selfZone: string,
    private readonly table: MemberTable,
    private readonly queue: UpdateQueue,
  ) {}

  /**
   * Fills a probe.
   *
   * @param head - Probe without updates and zone ages.
   * @param to - Id of the receiver; empty if unknown.
   * @param nowMs - Monotonic time in milliseconds.
   * @param refresh - Whether to add the next member in turn, to repair lost updates.
   * @param wanted - Member that the receiver requested.
   * @returns The probe to send.
   */
  fill(
    head: Probe,
    to: string,
    nowMs: number,
    refresh: boolean,
    wanted?: MemberUpdate,
  ): Probe {
    let bytes = probeHeadBytes(head);
    const reserve = (size: number): boolean => {
      if (bytes + size > bounds.messageBytes) return false;
      bytes += size;
      return true;
    };
    const updates: MemberUpdate[] = [];
    const known = this.table.get(to)?.update;
    // A member that is not considered alive must learn of it, so that it can refute it.
    if (known && known.state !== 'alive' && reserve(updateBytes(known))) {
      updates.push(known);
    }
    if (wanted && reserve(updateBytes(wanted))) updates.push(wanted);
    updates.push(...this.queue.take(update => reserve(updateBytes(update))));
    const zones = this.zoneAges(to, nowMs).filter(entry =>
      reserve(zoneAgeBytes(entry)),
    );
    if (refresh) {
      const next = this.nextToRefresh();
      if (next && reserve(updateBytes(next))) updates.push(next);
    }
    return {...head, updates, zones};
  }

  /**
   * Fills the ack of a ping. The member that the ping requests is included if its offset known here
   * is at least that of the sender.
   *
   * @param ack - Ack without updates and zone ages.
   * @param to - Sender of the ping.
   * @param ping - Ping to respond to.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The ack to send.
   */
  answer(ack: Probe, to: PeerIdentity, ping: Probe, nowMs: number): Probe {
    const known = this.table.get(ping.lagging ?? '')?.update;
    const isCurrent =
      known?.zone === to.zone && known.configOffset >= ping.configOffset;
    return this.fill(ack, to.id, nowMs, true, isCurrent ? known : undefined);
  }

  /**
   * Splits all members into probes within the size limit.
   *
   * @param head - Probe without updates and zone ages.
   * @param self - This host.
   * @returns Probes to send.
   */
  pages(head: Probe, self: MemberUpdate): Probe[] {
    const pages: Probe[] = [];
    let updates: MemberUpdate[] = [];
    let bytes = probeHeadBytes(head);
    for (const update of [self, ...this.updates()]) {
      const size = updateBytes(update);
      if (bytes + size > bounds.messageBytes && updates.length > 0) {
        pages.push({...head, updates});
        updates = [];
        bytes = probeHeadBytes(head);
      }
      updates.push(update);
      bytes += size;
    }
    pages.push({...head, updates});
    return pages;
  }

  /**
   * Removes the send times of hosts that are no longer known.
   *
   * @param keep - Returns whether a host is still known.
   */
  forget(keep: (id: string) => boolean): void {
    for (const id of this.agesSentAt.keys()) {
      if (!keep(id)) this.agesSentAt.delete(id);
    }
  }

  private *updates(): Generator<MemberUpdate> {
    for (const {update} of this.table.all()) yield update;
  }

  private zoneAges(to: string, nowMs: number): ZoneAge[] {
    const lastMs = this.agesSentAt.get(to) ?? -Infinity;
    if (to === '' || nowMs - lastMs < timing.zoneAgesIntervalMs) return [];
    this.agesSentAt.set(to, nowMs);
    const ages: ZoneAge[] = [];
    for (const [zone, atMs] of this.table.zonesHeard()) {
      // One unit for the transmission, so that an age always increases around a cycle of hosts.
      const age = Math.ceil((nowMs - atMs) / 100) + 1;
      if (zone === this.selfZone || age * 100 > timing.zoneSilenceMs) continue;
      ages.push({zone, age});
    }
    return ages.sort((a, b) => a.age - b.age);
  }

  /** Chooses three members of the local zone, which decide ownership, for each remote one. */
  private nextToRefresh(): MemberUpdate | undefined {
    const isLocal = ++this.refreshCount % 4 !== 0;
    const cursor = isLocal ? this.localCursor : this.remoteCursor;
    if (cursor.length === 0) {
      for (const {update} of this.table.all()) {
        if ((update.zone === this.selfZone) === isLocal) cursor.push(update.id);
      }
    }
    const id = cursor.pop();
    return id === undefined ? undefined : this.table.get(id)?.update;
  }
}
