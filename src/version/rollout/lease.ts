/** Stream of the log that holds the leases. */
export const leaseStream = 'leases';
/** Lifetime of a lease, in milliseconds. */
export const leaseMs = 10_000;
/** Time between renewals, in milliseconds. */
export const renewMs = 3000;
/** Tolerance for clocks that run at different speeds, in milliseconds. */
export const clockAllowanceMs = 2000;

/** Record of stream `leases`. */
export interface LeaseRecord {
  readonly writeId: string;
  /** What the lease is for, for example `rollout/NAME`. */
  readonly lease: string;
  readonly holder: string;
  readonly op: 'acquire' | 'renew' | 'release';
  /**
   * Offset of the last effective record of this lease that the writer had read, -1 if there was
   * none. A record that was written against another one has no effect, so that all readers agree
   * on the holder although each counts the lifetime on its own clock.
   */
  readonly after: number;
}

/** Folded state of one lease. */
export interface Lease {
  readonly holder: string;
  /** Offset of the `acquire` record. */
  readonly fencing: number;
  /** Offset of the last effective record. */
  readonly last: number;
  readonly released: boolean;
}

/** Folded leases by name. */
export type LeaseTable = ReadonlyMap<string, Lease>;

/**
 * Applies one record of stream `leases`.
 *
 * @param table - Leases before the record.
 * @param record - Record to apply.
 * @param offset - Offset of the record.
 * @returns The leases after it; the same object if the record had no effect.
 */
export function foldLease(
  table: LeaseTable,
  record: LeaseRecord,
  offset: number,
): LeaseTable {
  const lease = table.get(record.lease);
  if ((lease?.last ?? -1) !== record.after) return table;
  if (record.op === 'acquire') {
    return new Map(table).set(record.lease, {
      holder: record.holder,
      fencing: offset,
      last: offset,
      released: false,
    });
  }
  if (!lease || lease.holder !== record.holder || lease.released) return table;
  return new Map(table).set(record.lease, {
    ...lease,
    last: offset,
    released: record.op === 'release',
  });
}

/** Times that a host keeps about leases, all on its own monotonic clock. */
export class LeaseClock {
  private readonly readAt = new Map<string, {last: number; atMs: number}>();
  private readonly sentAt = new Map<string, number>();
  private readonly heldUntil = new Map<string, number>();

  /** @param host - Name of this host. */
  constructor(private readonly host: string) {}

  /**
   * Notes that a record is about to be sent.
   *
   * @param writeId - Id of the record.
   * @param nowMs - Monotonic time.
   */
  recordSent(writeId: string, nowMs: number): void {
    this.sentAt.set(writeId, nowMs);
    if (this.sentAt.size > 256)
      this.sentAt.delete(this.sentAt.keys().next().value as string);
  }

  /**
   * Notes that a record that took effect was read.
   *
   * @param record - Record.
   * @param lease - Lease after it.
   * @param nowMs - Monotonic time.
   */
  read(record: LeaseRecord, lease: Lease, nowMs: number): void {
    this.readAt.set(record.lease, {last: lease.last, atMs: nowMs});
    if (lease.holder !== this.host || lease.released) {
      this.heldUntil.delete(record.lease);
      return;
    }
    // A record of an earlier life of this host has no send time here, so it gives no right to act.
    const sentAt = this.sentAt.get(record.writeId);
    if (sentAt !== undefined)
      this.heldUntil.set(record.lease, sentAt + leaseMs);
  }

  /**
   * Tells whether this host may act under a lease.
   *
   * @param name - Lease.
   * @param nowMs - Monotonic time.
   * @returns Whether it is held.
   */
  holds(name: string, nowMs: number): boolean {
    return nowMs < (this.heldUntil.get(name) ?? -Infinity);
  }

  /**
   * Time until which this host may act under a lease.
   *
   * @param name - Lease.
   * @returns Monotonic time, `undefined` if the lease is not held.
   */
  until(name: string): number | undefined {
    return this.heldUntil.get(name);
  }

  /**
   * Gives up a lease before its end.
   *
   * @param name - Lease.
   */
  relinquish(name: string): void {
    this.heldUntil.delete(name);
  }

  /**
   * Tells whether nobody can hold a lease any more.
   *
   * @param name - Lease.
   * @param lease - Its folded state.
   * @param nowMs - Monotonic time.
   * @returns How long it has been free, in milliseconds; negative while it may be held.
   */
  freeFor(name: string, lease: Lease | undefined, nowMs: number): number {
    if (!lease || lease.released) return Infinity;
    const read = this.readAt.get(name);
    const from = read?.last === lease.last ? read.atMs : nowMs;
    return nowMs - (from + leaseMs + clockAllowanceMs);
  }
}
