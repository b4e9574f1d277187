/** Log stream that holds the lease records. */
export const leaseStream = 'leases';
/** Duration of a lease after its last renewal, in milliseconds. */
export const leaseMs = 10_000;
/** Time between renewals, in milliseconds. */
export const renewMs = 3000;
/** Tolerance for clock drift between hosts within one lease duration, in milliseconds. */
export const clockAllowanceMs = 2000;

/** Record of log stream `leases`. */
export interface LeaseRecord {
  /** Unique id of the record. */
  readonly writeId: string;
  /** Name of the lease, for example `rollout/NAME`. */
  readonly lease: string;
  /** Name of the host that wrote the record. */
  readonly holder: string;
  readonly op: 'acquire' | 'renew' | 'release';
  /**
   * Offset of the last effective record of this lease that the writer had read, -1 if none. If it
   * is not the last effective one when the record is folded, the record has no effect. Thus all
   * readers agree on the holder, although each measures the duration with its own clock.
   */
  readonly after: number;
}

/** State of one lease, folded from its records. */
export interface Lease {
  readonly holder: string;
  /** Fencing number: the offset of the `acquire` record. */
  readonly fencing: number;
  /** Offset of the last effective record. */
  readonly last: number;
  readonly released: boolean;
}

/** State of all leases, by name. */
export type LeaseTable = ReadonlyMap<string, Lease>;

/**
 * Applies one record of log stream `leases`.
 *
 * @param table - Leases before the record.
 * @param record - Record to apply.
 * @param offset - Log offset of the record.
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

/** Tracks on the monotonic clock of this host when leases are held and when they expire. */
export class LeaseClock {
  private readonly readAt = new Map<string, {last: number; atMs: number}>();
  private readonly sentAt = new Map<string, number>();
  private readonly heldUntil = new Map<string, number>();

  /** @param host - Name of this host. */
  constructor(private readonly host: string) {}

  /**
   * Records the send time of a lease record; the duration of the lease is counted from it.
   *
   * @param writeId - Unique id of the record.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordSent(writeId: string, nowMs: number): void {
    this.sentAt.set(writeId, nowMs);
    if (this.sentAt.size > 256)
      this.sentAt.delete(this.sentAt.keys().next().value as string);
  }

  /**
   * Updates the times of a lease after an effective record was read from the log.
   *
   * @param record - Record that was read.
   * @param lease - State of the lease after it.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  read(record: LeaseRecord, lease: Lease, nowMs: number): void {
    this.readAt.set(record.lease, {last: lease.last, atMs: nowMs});
    if (lease.holder !== this.host || lease.released) {
      this.heldUntil.delete(record.lease);
      return;
    }
    // Records from before a restart have no send time here, so the host may not act on them.
    const sentAt = this.sentAt.get(record.writeId);
    if (sentAt !== undefined)
      this.heldUntil.set(record.lease, sentAt + leaseMs);
  }

  /**
   * Checks whether this host holds a lease and may act under it.
   *
   * @param name - Name of the lease.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Whether it is held.
   */
  holds(name: string, nowMs: number): boolean {
    return nowMs < (this.heldUntil.get(name) ?? -Infinity);
  }

  /**
   * Returns the time at which the lease of this host expires; it may have passed.
   *
   * @param name - Name of the lease.
   * @returns Monotonic time, in milliseconds; `undefined` if this host does not hold the lease.
   */
  until(name: string): number | undefined {
    return this.heldUntil.get(name);
  }

  /**
   * Stops acting under a lease before it expires, without a record in the log.
   *
   * @param name - Name of the lease.
   */
  relinquish(name: string): void {
    this.heldUntil.delete(name);
  }

  /**
   * Computes for how long no host can have held a lease.
   *
   * @param name - Name of the lease.
   * @param lease - State of the lease, `undefined` if it was never acquired.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Time since its certain expiry, in milliseconds; negative while it may still be held.
   */
  freeFor(name: string, lease: Lease | undefined, nowMs: number): number {
    if (!lease || lease.released) return Infinity;
    const read = this.readAt.get(name);
    const from = read?.last === lease.last ? read.atMs : nowMs;
    return nowMs - (from + leaseMs + clockAllowanceMs);
  }
}
