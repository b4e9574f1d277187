import {IndexedHeap} from '../../src/request/scheduler/indexed-heap.js';

interface Entry {
  readonly atMs: number;
  readonly sequence: number;
  readonly run: () => void;
}

/** Runs functions in the order of virtual time. */
export class EventQueue {
  nowMs = 0;
  private sequence = 0;
  private readonly entries = new IndexedHeap<Entry>((a, b) =>
    a.atMs !== b.atMs ? a.atMs < b.atMs : a.sequence < b.sequence,
  );

  /** Runs a function at a time, or now if that has passed. */
  at(atMs: number, run: () => void): void {
    this.entries.put({
      atMs: Math.max(atMs, this.nowMs),
      sequence: this.sequence++,
      run,
    });
  }

  /** Runs everything due up to a time. */
  runUntil(endMs: number): void {
    for (;;) {
      const entry = this.entries.peek();
      if (!entry || entry.atMs > endMs) break;
      this.entries.remove(entry);
      this.nowMs = entry.atMs;
      entry.run();
    }
    this.nowMs = endMs;
  }
}
