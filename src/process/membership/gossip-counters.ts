/** Share of a counter that one incarnation of one host has counted. */
export interface CounterCell {
  readonly key: string;
  readonly host: string;
  readonly incarnation: number;
  /** Monotonically increasing. */
  readonly value: number;
  /** Time since the value last increased, in seconds. */
  readonly age: number;
}

/** Bounds of {@link GossipCounters}. */
export interface CounterOptions {
  readonly host: string;
  /** Incarnation of this run; a later run of the same host uses separate cells. */
  readonly incarnation: number;
  /** Time without an increase after which every host removes a cell, in milliseconds. */
  readonly windowMs: number;
  /** Maximum number of cells; a new cell evicts the one that increased least recently. */
  readonly maxCells: number;
}

interface StoredCell {
  readonly key: string;
  readonly host: string;
  readonly incarnation: number;
  value: number;
  grewAtMs: number;
  /** Sequence number of the cell's last change; {@link GossipCounters.delta} sends newer ones. */
  change: number;
  /** Host that sent the change; empty if counted locally. */
  from: string;
}

/** Interval at which all cells are sent to a host again, to repair lost messages. */
const resyncIntervalMs = 30_000;

/**
 * Grow-only counters (G-counter CRDT) by key, host and incarnation, merged by maximum. A sum is a
 * lower bound of the count within the window: with one delta per second on each link it lags by 1 s
 * per hop, plus 1 s per page of changes that waits. Nothing is counted twice, and a restart of a
 * host does not reduce a sum.
 */
export class GossipCounters {
  private readonly cells = new Map<string, StoredCell>();
  private readonly sent = new Map<string, {change: number; allAtMs: number}>();
  private change = 0;

  /**
   * @param options - Identity of this host, window and bounds.
   */
  constructor(private readonly options: CounterOptions) {}

  /** Number of stored cells. */
  get size(): number {
    return this.cells.size;
  }

  /**
   * Increments the local cell of a key.
   *
   * @param key - Key to count.
   * @param amount - Increment; a positive integer.
   * @param nowMs - Monotonic time in milliseconds.
   */
  add(key: string, amount: number, nowMs: number): void {
    const {host, incarnation} = this.options;
    const value = (this.find(key, host, incarnation)?.value ?? 0) + amount;
    this.store({key, host, incarnation, value, age: 0}, '', nowMs);
  }

  /**
   * Sums a key over all hosts.
   *
   * @param key - Key to sum.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Sum of the cells that increased within the window.
   */
  sum(key: string, nowMs: number): number {
    let sum = 0;
    for (const cell of this.cells.values()) {
      if (cell.key === key && !this.isExpired(cell, nowMs)) sum += cell.value;
    }
    return sum;
  }

  /**
   * Merges cells received from another host.
   *
   * @param from - Id of the sender.
   * @param cells - Cells, in any order; merging them again has no effect.
   * @param nowMs - Monotonic time in milliseconds.
   */
  merge(from: string, cells: readonly CounterCell[], nowMs: number): void {
    const {host, incarnation} = this.options;
    for (const cell of cells) {
      // Only this process increments the cells of its own incarnation.
      if (cell.host === host && cell.incarnation === incarnation) continue;
      const known = this.find(cell.key, cell.host, cell.incarnation);
      const old = cell.age * 1000 > this.options.windowMs;
      if (old || cell.value <= (known?.value ?? 0)) continue;
      this.store(cell, from, nowMs);
    }
  }

  /**
   * Lists the changes that were not yet sent to a host, oldest first, and marks them as sent.
   *
   * @param to - Id of the receiver.
   * @param maxCells - Maximum number of cells.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Cells for one message; empty if the host was sent everything.
   */
  delta(to: string, maxCells: number, nowMs: number): CounterCell[] {
    const state = this.sent.get(to) ?? {change: 0, allAtMs: nowMs};
    this.sent.set(to, state);
    if (
      nowMs - state.allAtMs > resyncIntervalMs &&
      state.change === this.change
    ) {
      state.change = 0;
      state.allAtMs = nowMs;
    }
    const {change: last} = state;
    const changed = [...this.cells.values()]
      .filter(cell => cell.change > last && cell.from !== to)
      .filter(cell => !this.isExpired(cell, nowMs))
      .sort((a, b) => a.change - b.change);
    const page = changed.slice(0, maxCells);
    state.change =
      page.length < changed.length ? page[page.length - 1].change : this.change;
    return page.map(({key, host, incarnation, value, grewAtMs}) => ({
      key,
      host,
      incarnation,
      value,
      // Rounded up, so that an age does not shrink as it travels around a cycle of hosts.
      age: Math.ceil((nowMs - grewAtMs) / 1000),
    }));
  }

  /**
   * Removes cells that did not increase within the window, and the send state of hosts that are no
   * longer linked.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @param isLinked - Returns whether this host has a link to a host.
   */
  expire(nowMs: number, isLinked: (host: string) => boolean): void {
    for (const [id, cell] of this.cells) {
      if (this.isExpired(cell, nowMs)) this.cells.delete(id);
    }
    for (const host of this.sent.keys()) {
      if (!isLinked(host)) this.sent.delete(host);
    }
  }

  private find(key: string, host: string, incarnation: number) {
    return this.cells.get(`${key}\n${host}\n${incarnation}`);
  }

  private isExpired({grewAtMs}: StoredCell, nowMs: number): boolean {
    return nowMs - grewAtMs > this.options.windowMs;
  }

  private store(cell: CounterCell, from: string, nowMs: number): void {
    const {key, host, incarnation, value, age} = cell;
    const id = `${key}\n${host}\n${incarnation}`;
    if (!this.cells.has(id) && this.cells.size >= this.options.maxCells) {
      this.evict();
    }
    const grewAtMs = nowMs - age * 1000;
    const change = ++this.change;
    this.cells.set(id, {
      key,
      host,
      incarnation,
      value,
      grewAtMs,
      change,
      from,
    });
  }

  private evict(): void {
    let oldest: [string, StoredCell] | undefined;
    for (const entry of this.cells) {
      if (!oldest || entry[1].grewAtMs < oldest[1].grewAtMs) oldest = entry;
    }
    if (oldest) this.cells.delete(oldest[0]);
  }
}
