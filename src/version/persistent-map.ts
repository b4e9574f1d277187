import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/** Number of parts of a map; at 2,600 entries a change copies about ten of them. */
const partCount = 256;

/** Immutable map. A change copies one small part and shares the others with its predecessor. */
export class PersistentMap<V> implements Iterable<[string, V]> {
  private constructor(
    private readonly parts: readonly ReadonlyMap<string, V>[],
    /** Number of entries. */
    readonly size: number,
  ) {}

  /**
   * Creates a map.
   *
   * @param entries - Initial entries; the last one of equal keys wins.
   * @returns The map.
   */
  static from<V>(entries: Iterable<readonly [string, V]> = []) {
    const parts = Array.from({length: partCount}, () => new Map<string, V>());
    for (const [key, value] of entries) parts[partOf(key)].set(key, value);
    const size = parts.reduce((sum, part) => sum + part.size, 0);
    return new PersistentMap<V>(parts, size);
  }

  /** Reads one entry. */
  get(key: string): V | undefined {
    return this.parts[partOf(key)].get(key);
  }

  /** Tells whether an entry exists. */
  has(key: string): boolean {
    return this.parts[partOf(key)].has(key);
  }

  /** Returns a map with one entry added or replaced. */
  with(key: string, value: V): PersistentMap<V> {
    return this.change(key, part => part.set(key, value));
  }

  /** Returns a map without one entry. */
  without(key: string): PersistentMap<V> {
    if (!this.has(key)) return this;
    return this.change(key, part => part.delete(key));
  }

  /**
   * Adds an entry and drops those entries of the same part that are no longer wanted.
   *
   * @param key - Key of the new entry.
   * @param value - Value of the new entry.
   * @param keep - Tells whether an older entry stays.
   * @returns The changed map.
   */
  withPruned(key: string, value: V, keep: (value: V) => boolean) {
    return this.change(key, part => {
      for (const [other, old] of part) if (!keep(old)) part.delete(other);
      part.set(key, value);
    });
  }

  /** All values, in no particular order. */
  *values(): IterableIterator<V> {
    for (const part of this.parts) yield* part.values();
  }

  /** All entries, in no particular order. */
  *[Symbol.iterator](): IterableIterator<[string, V]> {
    for (const part of this.parts) yield* part;
  }

  private change(
    key: string,
    edit: (part: Map<string, V>) => void,
  ): PersistentMap<V> {
    const index = partOf(key);
    const part = new Map(this.parts[index]);
    edit(part);
    const parts = [...this.parts];
    parts[index] = part;
    return new PersistentMap(
      parts,
      this.size - this.parts[index].size + part.size,
    );
  }
}

function partOf(key: string): number {
  return h32(key) % partCount;
}
