/** Part of a counter that one run of one host counted. */
export interface CounterCell {
  readonly key: string;
  readonly host: string;
  readonly incarnation: number;
  /** Grows only. */
  readonly value: number;
  /** Time since the value last grew, in seconds. */
  readonly age: number;
}

/** Bounds of {@link GossipCounters}. */
export interface CounterOptions {
  readonly host: string;
  /** Incarnation of this run; a later run of the same host counts separately. */
  readonly incarnation: number;
  /** A cell that did not grow for this long is removed everywhere, in milliseconds. */
  readonly windowMs: number;
  /** Greatest number of cells; the one that grew least recently gives way to a new one. */
  readonly maxCells: number;
}

interface Stored {
  readonly key: string;
  readonly host: string;
  readonly incarnation: number;
  value: number;
  grewAtMs: number;
  /** Rises with each change of any cell, for the deltas. */
  change: number;
  /** Host from which the change came; empty if counted here. */
  from: string;
}

/** All cells are sent again to a host after this time, in case a message was lost. */
const resendMs = 30_000;

/**
 * Grow-only counters by key, host and incarnation, merged by maximum (a CRDT). A sum is a lower
 * bound of what was counted within the window: with one delta each second on each link it lags by
 * 1 s for each hop, plus 1 s for each page of changes that waits. It never counts anything twice,
 * and a host that restarts does not take anything away.
 */
export class GossipCounters {
  private readonly cells = new Map<string, Stored>();
  private readonly sent = new Map<string, {change: number; allAtMs: number}>();
  private change = 0;

  /**
   * @param options - Identity of this host, window and bounds.
   */
  constructor(private readonly options: CounterOptions) {}

  /** Number of cells kept. */
  get size(): number {
    return this.cells.size;
  }

  /**
   * Counts at this host.
   *
   * @param key - Key to count.
   * @param amount - Amount; a positive integer.
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
   * @returns Sum of the cells that grew within the window.
   */
  sum(key: string, nowMs: number): number {
    let sum = 0;
    for (const cell of this.cells.values()) {
      if (cell.key === key && !this.isOld(cell, nowMs)) sum += cell.value;
    }
    return sum;
  }

  /**
   * Merges cells of another host.
   *
   * @param from - Id of the sender.
   * @param cells - Cells, in any order; merging them again has no effect.
   * @param nowMs - Monotonic time in milliseconds.
   */
  merge(from: string, cells: readonly CounterCell[], nowMs: number): void {
    const {host, incarnation} = this.options;
    for (const cell of cells) {
      // Nobody else counts for this run.
      if (cell.host === host && cell.incarnation === incarnation) continue;
      const known = this.find(cell.key, cell.host, cell.incarnation);
      const old = cell.age * 1000 > this.options.windowMs;
      if (old || cell.value <= (known?.value ?? 0)) continue;
      this.store(cell, from, nowMs);
    }
  }

  /**
   * Lists what a host was not yet sent, oldest change first.
   *
   * @param to - Id of the receiver.
   * @param maxCells - Greatest number of cells.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Cells for one message; empty if the host was sent everything.
   */
  delta(to: string, maxCells: number, nowMs: number): CounterCell[] {
    const state = this.sent.get(to) ?? {change: 0, allAtMs: nowMs};
    this.sent.set(to, state);
    if (nowMs - state.allAtMs > resendMs && state.change === this.change) {
      state.change = 0;
      state.allAtMs = nowMs;
    }
    const {change: last} = state;
    const changed = [...this.cells.values()]
      .filter(cell => cell.change > last && cell.from !== to)
      .filter(cell => !this.isOld(cell, nowMs))
      .sort((a, b) => a.change - b.change);
    const page = changed.slice(0, maxCells);
    state.change =
      page.length < changed.length ? page[page.length - 1].change : this.change;
    return page.map(({key, host, incarnation, value, grewAtMs}) => ({
      key,
      host,
      incarnation,
      value,
      // Rounded up, so that an age does not shrink while it goes round in a circle.
      age: Math.ceil((nowMs - grewAtMs) / 1000),
    }));
  }

  /**
   * Removes cells that did not grow within the window, and what was sent to hosts that are no
   * longer linked.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @param isLinked - Tells whether a host is linked.
   */
  expire(nowMs: number, isLinked: (host: string) => boolean): void {
    for (const [id, cell] of this.cells) {
      if (this.isOld(cell, nowMs)) this.cells.delete(id);
    }
    for (const host of this.sent.keys()) {
      if (!isLinked(host)) this.sent.delete(host);
    }
  }

  private find(key: string, host: string, incarnation: number) {
    return this.cells.get(`${key}\n${host}\n${incarnation}`);
  }

  private isOld({grewAtMs}: Stored, nowMs: number): boolean {
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
    let oldest: [string, Stored] | undefined;
    for (const entry of this.cells) {
      if (!oldest || entry[1].grewAtMs < oldest[1].grewAtMs) oldest = entry;
    }
    if (oldest) this.cells.delete(oldest[0]);
  }
}
