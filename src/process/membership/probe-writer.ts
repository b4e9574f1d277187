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

/** Fills probes up to the bounded size: urgent updates, then zone ages, then one more member. */
export class ProbeWriter {
  /** When zone ages were last sent, by member. */
  private readonly agesSentAt = new Map<string, number>();
  private readonly nearCursor: string[] = [];
  private readonly farCursor: string[] = [];
  private refreshed = 0;

  /**
   * @param selfZone - Zone of this host.
   * @param table - Known members.
   * @param queue - Updates to pass on.
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
   * @param refresh - Whether to add a member whose state is old, to repair lost updates.
   * @param wanted - Member that the receiver asked for.
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
    // A member that is taken for anything but alive must hear it, so that it can refute.
    if (known && known.state !== 'alive' && reserve(updateBytes(known))) {
      updates.push(known);
    }
    if (wanted && reserve(updateBytes(wanted))) updates.push(wanted);
    updates.push(...this.queue.take(update => reserve(updateBytes(update))));
    const zones = this.zoneAges(to, nowMs).filter(entry =>
      reserve(zoneAgeBytes(entry)),
    );
    if (refresh) {
      const next = this.nextRefreshed();
      if (next && reserve(updateBytes(next))) updates.push(next);
    }
    return {...head, updates, zones};
  }

  /**
   * Fills the ack of a ping, with the member that the ping asks for if its offset is known here up
   * to that of the sender.
   *
   * @param ack - Ack without updates and zone ages.
   * @param to - Sender of the ping.
   * @param ping - Ping to answer.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The ack to send.
   */
  answer(ack: Probe, to: PeerIdentity, ping: Probe, nowMs: number): Probe {
    const known = this.table.get(ping.lagging ?? '')?.update;
    const later =
      known?.zone === to.zone && known.configOffset >= ping.configOffset;
    return this.fill(ack, to.id, nowMs, true, later ? known : undefined);
  }

  /**
   * Splits all members into pages of the bounded size.
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
   * Forgets receivers that are no longer linked.
   *
   * @param keep - Tells whether a receiver is still linked.
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
      // One unit for the way, so that an age cannot stay the same while it goes round in a circle.
      const age = Math.ceil((nowMs - atMs) / 100) + 1;
      if (zone === this.selfZone || age * 100 > timing.zoneSilenceMs) continue;
      ages.push({zone, age});
    }
    return ages.sort((a, b) => a.age - b.age);
  }

  /** Takes three members of this zone, which decide on ownership, for each other one. */
  private nextRefreshed(): MemberUpdate | undefined {
    const near = ++this.refreshed % 4 !== 0;
    const cursor = near ? this.nearCursor : this.farCursor;
    if (cursor.length === 0) {
      for (const {update} of this.table.all()) {
        if ((update.zone === this.selfZone) === near) cursor.push(update.id);
      }
    }
    const id = cursor.pop();
    return id === undefined ? undefined : this.table.get(id)?.update;
  }
}
