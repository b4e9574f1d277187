import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/** Number of hash partitions of a map; with 2,600 entries, a change copies about ten entries. */
const partCount = 256;

/** Immutable map. A change copies one partition and shares the others with the previous map. */
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

  /** Returns the value of a key. */
  get(key: string): V | undefined {
    return this.parts[partOf(key)].get(key);
  }

  /** Checks whether a key exists. */
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
   * Adds an entry and drops expired entries of the same partition.
   *
   * @param key - Key of the new entry.
   * @param value - Value of the new entry.
   * @param keep - Whether an older entry is kept.
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
