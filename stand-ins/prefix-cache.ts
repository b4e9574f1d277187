import type {CacheEvent} from '../src/request/scheduler/types.js';
import type {Random} from './seeded-random.js';

/** Prefix blocks in an engine's memory, the least recently used first, and the events about them. */
export class PrefixCache {
  private readonly blocks = new Set<string>();
  private readonly pending: {dueMs: number; event: CacheEvent}[] = [];
  private sequence = 0;

  /**
   * @param delayMs - Time until an event can be read, in milliseconds.
   * @param gapShare - Share of events that are never published, 0 to 1.
   * @param random - Decides which events are lost.
   */
  constructor(
    private readonly delayMs: number,
    private readonly gapShare: number,
    private readonly random: Random,
  ) {}

  /** Number of blocks. */
  get size(): number {
    return this.blocks.size;
  }

  /** Counts the leading blocks that are cached and marks them as used. */
  match(prefixes: readonly string[]): number {
    let count = 0;
    while (count < prefixes.length && this.blocks.has(prefixes[count])) count++;
    this.touch(prefixes.slice(0, count));
    return count;
  }

  /** Adds the blocks of a prompt. */
  store(prefixes: readonly string[], nowMs: number): void {
    const added = prefixes.filter(prefix => !this.blocks.has(prefix));
    this.touch(prefixes);
    if (added.length > 0) this.publish('stored', added, nowMs);
  }

  /** Evicts the least recently used blocks until at most `max` are left. */
  shrink(max: number, nowMs: number): void {
    const evicted: string[] = [];
    for (const prefix of this.blocks) {
      if (this.blocks.size <= max) break;
      this.blocks.delete(prefix);
      evicted.push(prefix);
    }
    if (evicted.length > 0) this.publish('evicted', evicted, nowMs);
  }

  /** Removes all blocks. */
  clear(nowMs: number): void {
    this.blocks.clear();
    this.publish('cleared', [], nowMs);
  }

  /** Takes the events that can be read by now. */
  take(nowMs: number): CacheEvent[] {
    const count = this.pending.findIndex(({dueMs}) => dueMs > nowMs);
    const due = this.pending.splice(0, count < 0 ? this.pending.length : count);
    return due.map(({event}) => event);
  }

  /** Longer prefixes become older than shorter ones, so that they are evicted first. */
  private touch(prefixes: readonly string[]): void {
    for (let i = prefixes.length - 1; i >= 0; i--) {
      this.blocks.delete(prefixes[i]);
      this.blocks.add(prefixes[i]);
    }
  }

  private publish(
    op: CacheEvent['op'],
    prefixes: readonly string[],
    nowMs: number,
  ): void {
    const event = {op, prefixes, sequence: ++this.sequence};
    if (this.random() < this.gapShare) return;
    this.pending.push({dueMs: nowMs + this.delayMs, event});
  }
}
