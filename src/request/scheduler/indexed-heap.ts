/** Binary heap whose items can be moved or removed in O(log n). */
export class IndexedHeap<T> {
  private readonly items: T[] = [];
  private readonly index = new Map<T, number>();

  /**
   * @param before - Whether the first item comes before the second; must be a strict order.
   */
  constructor(private readonly before: (a: T, b: T) => boolean) {}

  /** Number of items. */
  get size(): number {
    return this.items.length;
  }

  /** Items in no particular order; must not be changed. */
  get values(): readonly T[] {
    return this.items;
  }

  /** First item, or undefined if the heap is empty. */
  peek(): T | undefined {
    return this.items[0];
  }

  /** Whether the heap holds the item. */
  has(item: T): boolean {
    return this.index.has(item);
  }

  /** Adds an item, or restores its position after its key changed. */
  put(item: T): void {
    let at = this.index.get(item);
    if (at === undefined) {
      at = this.items.length;
      this.items.push(item);
      this.index.set(item, at);
    }
    this.down(this.up(at));
  }

  /** Removes an item and returns whether the heap held it. */
  remove(item: T): boolean {
    const at = this.index.get(item);
    if (at === undefined) return false;
    this.index.delete(item);
    const last = this.items.pop() as T;
    if (at < this.items.length) {
      this.items[at] = last;
      this.index.set(last, at);
      this.down(this.up(at));
    }
    return true;
  }

  private up(from: number): number {
    let at = from;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!this.before(this.items[at], this.items[parent])) break;
      this.swap(at, parent);
      at = parent;
    }
    return at;
  }

  private down(from: number): void {
    let at = from;
    for (;;) {
      let next = 2 * at + 1;
      if (next >= this.items.length) return;
      if (
        next + 1 < this.items.length &&
        this.before(this.items[next + 1], this.items[next])
      ) {
        next++;
      }
      if (!this.before(this.items[next], this.items[at])) return;
      this.swap(at, next);
      at = next;
    }
  }

  private swap(a: number, b: number): void {
    const item = this.items[a];
    this.items[a] = this.items[b];
    this.items[b] = item;
    this.index.set(this.items[a], a);
    this.index.set(item, b);
  }
}
