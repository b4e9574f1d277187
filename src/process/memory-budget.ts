/** What bytes are held for. */
export const heldKinds = {
  /** Body of a request that has not arrived in full. */
  receiving: 'receiving',
  /** Complete body of a request that waits or is served; kept for retries. */
  admitted: 'admitted',
  /** Part of a response that the caller has not read. */
  responding: 'responding',
  /** What a request that waits for an earlier one takes besides its body. */
  waiting: 'waiting',
} as const;

/** One of {@link heldKinds}. */
export type HeldKind = keyof typeof heldKinds;

/** Kinds that can be evicted: nothing was run for them yet, or the caller has stopped reading. */
export type EvictableKind = 'receiving' | 'responding';

/** An account up to this size may use the reserve, in bytes. */
export const smallAccountBytes = 16 * 1024;

/** Fraction of the budget that only small accounts and responses may use. */
const reserveShare = 1 / 8;

/** Age from which a body that has not ended may be evicted, in milliseconds. */
const bodyGraceMs = 1000;

/** Time without reading after which the response of a caller may be evicted, in milliseconds. */
const responseGraceMs = 5000;

/**
 * Bounds the bytes that callers hold in this process, over all connections.
 *
 * Bytes that do not fit are refused, unless other accounts hold bytes that may be evicted: bodies that take long to
 * arrive, and responses whose caller has stopped reading. Such accounts are evicted in the order of their cost, which
 * is the integral of the bytes over time, so sending or reading a byte now and then does not make an account cheaper.
 */
export class MemoryBudget {
  private readonly accounts = new Set<MemoryAccount>();
  private readonly reserveBytes: number;
  private total = 0;
  private evictionCount = 0;
  private refusalCount = 0;

  /** @param limitBytes - Maximum sum of the bytes that all accounts hold. */
  constructor(readonly limitBytes: number) {
    this.reserveBytes = Math.floor(limitBytes * reserveShare);
  }

  /** Sum of the bytes that all accounts hold. */
  get heldBytes(): number {
    return this.total;
  }

  /** Number of evictions. */
  get evictions(): number {
    return this.evictionCount;
  }

  /** Number of calls of {@link MemoryAccount.hold} that were refused. */
  get refusals(): number {
    return this.refusalCount;
  }

  /** Largest body that fits when nothing else is held, in bytes. */
  get maxBodyBytes(): number {
    return this.limitBytes - this.reserveBytes;
  }

  /**
   * Opens the account of a connection.
   *
   * @param onEvict - Called with a kind and its bytes when these were taken from the account. It drops the buffers, ends what they
   *   were for, and does not release these bytes again.
   * @returns The account, which holds nothing.
   */
  open(onEvict: (kind: EvictableKind, bytes: number) => void): MemoryAccount {
    const account = new MemoryAccount(
      {
        fit: (holder, bytes, kind, nowMs) =>
          this.fit(holder, bytes, kind, nowMs),
        change: bytes => {
          this.total += bytes;
        },
        close: closed => this.accounts.delete(closed),
      },
      onEvict,
    );
    this.accounts.add(account);
    return account;
  }

  /** Makes room for bytes of an account if that is possible. */
  private fit(
    holder: MemoryAccount,
    bytes: number,
    kind: HeldKind,
    nowMs: number,
  ): boolean {
    const isPreferred =
      kind === 'responding' || holder.heldBytes + bytes <= smallAccountBytes;
    const limit = isPreferred ? this.limitBytes : this.maxBodyBytes;
    while (this.total + bytes > limit) {
      const found = bytes <= limit && this.findCostliest(holder, nowMs);
      if (!found) {
        this.refusalCount += 1;
        return false;
      }
      this.evictionCount += 1;
      found.account.evict(found.kind);
    }
    return true;
  }

  /** Finds what to evict: the bytes that cost most, if they cost more than the body that the holder is receiving. */
  private findCostliest(
    holder: MemoryAccount,
    nowMs: number,
  ): {account: MemoryAccount; kind: EvictableKind} | undefined {
    let found: {account: MemoryAccount; kind: EvictableKind} | undefined;
    let most = holder.evictableCost('receiving', nowMs);
    for (const account of this.accounts) {
      if (account === holder) continue;
      for (const kind of ['receiving', 'responding'] as const) {
        if (!account.isEvictable(kind, nowMs)) continue;
        const cost = account.evictableCost(kind, nowMs);
        if (cost <= most) continue;
        most = cost;
        found = {account, kind};
      }
    }
    return found;
  }
}

/** Calls of an account to its budget. */
interface AccountBudget {
  fit(
    holder: MemoryAccount,
    bytes: number,
    kind: HeldKind,
    nowMs: number,
  ): boolean;
  change(bytes: number): void;
  close(account: MemoryAccount): void;
}

/** Bytes of an evictable kind and what they have cost. */
class EvictableBytes {
  bytes = 0;
  /** Integral of the bytes over time until `updatedMs`, in byte-milliseconds. */
  private accrued = 0;
  private updatedMs = 0;
  /** Start of the period in which nothing may be evicted, in milliseconds. */
  graceFromMs = 0;

  change(bytes: number, nowMs: number): void {
    this.accrued = this.cost(nowMs);
    this.updatedMs = nowMs;
    if (this.bytes === 0) this.graceFromMs = nowMs;
    this.bytes += bytes;
    if (this.bytes === 0) this.accrued = 0;
  }

  cost(nowMs: number): number {
    return this.accrued + this.bytes * Math.max(0, nowMs - this.updatedMs);
  }
}

/** Bytes that one caller's connection holds. */
export class MemoryAccount {
  private readonly receiving = new EvictableBytes();
  private readonly responding = new EvictableBytes();
  private admittedBytes = 0;
  private waitingBytes = 0;
  private isClosed = false;

  /**
   * @param budget - Budget that the account belongs to.
   * @param onEvict - See {@link MemoryBudget.open}.
   */
  constructor(
    private readonly budget: AccountBudget,
    private readonly onEvict: (kind: EvictableKind, bytes: number) => void,
  ) {}

  /** Sum of the bytes held. */
  get heldBytes(): number {
    return (
      this.receiving.bytes +
      this.responding.bytes +
      this.admittedBytes +
      this.waitingBytes
    );
  }

  /**
   * Holds more bytes if they fit, which may evict other accounts.
   *
   * @param bytes - Number of bytes, not negative.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @param kind - What they are held for.
   * @returns Whether the bytes are held; a closed account holds none.
   */
  hold(bytes: number, nowMs: number, kind: HeldKind): boolean {
    if (this.isClosed) return false;
    if (!this.budget.fit(this, bytes, kind, nowMs)) return false;
    this.change(bytes, nowMs, kind);
    return true;
  }

  /**
   * Releases bytes, at most those that are held.
   *
   * @param bytes - Number of bytes, not negative.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @param kind - What they were held for.
   */
  release(bytes: number, nowMs: number, kind: HeldKind): void {
    const released = Math.min(bytes, this.heldOf(kind));
    if (released === 0) return;
    this.change(-released, nowMs, kind);
    if (kind === 'responding') this.responding.graceFromMs = nowMs;
  }

  /**
   * Keeps the bytes of a body that has arrived in full until they are released.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @param bytes - Size of the body, in bytes; all that is being received if absent.
   */
  completeBody(nowMs: number, bytes = this.receiving.bytes): void {
    const kept = Math.min(bytes, this.receiving.bytes);
    this.receiving.change(-kept, nowMs);
    this.admittedBytes += kept;
  }

  /** Releases everything; the account holds nothing afterwards. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.budget.change(-this.heldBytes);
    this.receiving.bytes = 0;
    this.responding.bytes = 0;
    this.admittedBytes = 0;
    this.waitingBytes = 0;
    this.budget.close(this);
  }

  /**
   * @param kind - Kind to evict.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @returns Whether bytes of the kind may be evicted.
   */
  isEvictable(kind: EvictableKind, nowMs: number): boolean {
    const {bytes, graceFromMs} = this[kind];
    const graceMs = kind === 'receiving' ? bodyGraceMs : responseGraceMs;
    return bytes > 0 && nowMs - graceFromMs >= graceMs;
  }

  /**
   * @param kind - Kind of the bytes.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @returns Integral of the bytes over the time since they are held, in byte-milliseconds.
   */
  evictableCost(kind: EvictableKind, nowMs: number): number {
    return this[kind].cost(nowMs);
  }

  /**
   * Gives up the bytes of a kind.
   *
   * @param kind - Kind to evict.
   */
  evict(kind: EvictableKind): void {
    const {bytes} = this[kind];
    this.change(-bytes, 0, kind);
    this.onEvict(kind, bytes);
  }

  private heldOf(kind: HeldKind): number {
    if (kind === 'admitted') return this.admittedBytes;
    if (kind === 'waiting') return this.waitingBytes;
    return this[kind].bytes;
  }

  private change(bytes: number, nowMs: number, kind: HeldKind): void {
    if (kind === 'admitted') this.admittedBytes += bytes;
    else if (kind === 'waiting') this.waitingBytes += bytes;
    else this[kind].change(bytes, nowMs);
    this.budget.change(bytes);
  }
}
