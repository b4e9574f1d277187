import {LRUCache} from 'lru-cache';
import type {CacheEvent} from './types.js';

/** Maximum number of prefixes; each takes about 200 bytes, so the index 3.2 MB when full. */
const maxPrefixes = 16_384;
/** Maximum number of targets remembered for each prefix; the oldest one is dropped first. */
const maxHolders = 8;

/** Target that holds a prefix, with the state of its cache when that became known. */
interface Holder {
  readonly target: string;
  readonly generation: number;
  readonly gaps: number;
}

/** Event state of a target's cache. */
interface Cache {
  /** Incremented when the cache is cleared, which invalidates all earlier holders. */
  generation: number;
  /** Number of gaps in the sequence of events so far. */
  gaps: number;
  /** Sequence number of the last event. */
  sequence: number | undefined;
}

/** Estimates which targets hold which prompt prefixes in their cache. */
export class PrefixIndex {
  private readonly holders = new LRUCache<string, Holder[]>({max: maxPrefixes});
  private readonly caches = new Map<string, Cache>();

  /** Records that a prompt with these prefixes was sent to a target. */
  sent(target: string, prefixes: readonly string[]): void {
    const {generation, gaps} = this.cache(target);
    for (const prefix of prefixes) {
      const known = this.holders.get(prefix) ?? [];
      const others = known.filter(holder => holder.target !== target);
      if (others.length >= maxHolders) others.shift();
      others.push({target, generation, gaps});
      this.holders.set(prefix, others);
    }
  }

  /** Applies an event of a target's cache. */
  event(target: string, event: CacheEvent): void {
    const cache = this.cache(target);
    const expected = cache.sequence === undefined ? -1 : cache.sequence + 1;
    // A late event is ignored: the state that it describes is already superseded.
    if (cache.sequence !== undefined && event.sequence < expected) return;
    if (cache.sequence !== undefined && event.sequence > expected) cache.gaps++;
    cache.sequence = event.sequence;
    if (event.op === 'cleared') cache.generation++;
    else if (event.op === 'stored') this.sent(target, event.prefixes);
    else this.evicted(target, event.prefixes);
  }

  /** Discards what is known of a target's cache, after the target has become cold. */
  cleared(target: string): void {
    const cache = this.cache(target);
    cache.generation++;
    cache.sequence = undefined;
  }

  /** Removes a target that is no longer in the group. */
  removed(target: string): void {
    this.caches.delete(target);
  }

  /**
   * Finds the targets that hold a prefix of a prompt.
   *
   * @param prefixes - Prefixes of the prompt, shortest first.
   * @returns Expected cached share of the prompt by target, 0 to 1.
   */
  lookup(prefixes: readonly string[]): ReadonlyMap<string, number> {
    const found = new Map<string, number>();
    for (let i = prefixes.length - 1; i >= 0; i--) {
      const share = (i + 1) / prefixes.length;
      for (const holder of this.holders.get(prefixes[i]) ?? []) {
        const cache = this.caches.get(holder.target);
        if (!cache || cache.generation !== holder.generation) continue;
        // Each gap in the sequence may hide an eviction, so it halves the expected share.
        const value = share * 0.5 ** (cache.gaps - holder.gaps);
        if (value > (found.get(holder.target) ?? 0)) {
          found.set(holder.target, value);
        }
      }
    }
    return found;
  }

  private evicted(target: string, prefixes: readonly string[]): void {
    for (const prefix of prefixes) {
      const known = this.holders.get(prefix);
      if (!known) continue;
      const left = known.filter(holder => holder.target !== target);
      if (left.length > 0) this.holders.set(prefix, left);
      else this.holders.delete(prefix);
    }
  }

  private cache(target: string): Cache {
    let cache = this.caches.get(target);
    if (!cache) {
      cache = {generation: 0, gaps: 0, sequence: undefined};
      this.caches.set(target, cache);
    }
    return cache;
  }
}
