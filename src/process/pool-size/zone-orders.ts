/** Time beyond the boot time after which ordered targets count as lost, in milliseconds: they register themselves. */
const bootMarginMs = 2000;
/** Time for which a missing or suspended target still counts as serving, in milliseconds. Most of them return sooner. */
const lossGraceMs = 2000;
/** Boot times for which a zone that did not deliver gets raises after the others. */
const undeliveredBoots = 2;
/** Boot times for which nothing is ordered for a zone whose order was refused. */
const refusedBoots = 4;
/** Time for which a target that disappeared counts as part of a number that was never ordered, in milliseconds. */
const missingMs = 20_000;

/** Targets of a service in a zone as they are seen now. */
export interface SeenTargets {
  /** Ids of the targets that are not leaving. */
  readonly ids: readonly string[];
  /** Ids of the targets that are leaving. */
  readonly leaving: readonly string[];
  /** Number of those that take requests. */
  readonly serving: number;
}

interface Raise {
  count: number;
  /** Monotonic time after which the targets count as lost, in milliseconds; infinite until the order is accepted. */
  dueMs: number;
}

/** What was ordered of a service in one zone, and what of it is still on its way. */
export class ZoneOrders {
  private ordered: number | undefined;
  /** Number that the platform accepted last. */
  private acceptedCount: number | undefined;
  private isUnsent = false;
  /** Whether what is missing of an adopted order still has to be taken as on its way. */
  private isAdopted = false;
  private raises: Raise[] = [];
  private readonly known = new Set<string>();
  /** Monotonic time at which each target was seen last, in milliseconds; without those that left in order. */
  private readonly seenAtMs = new Map<string, number>();
  private present = 0;
  private servingSamples: {readonly atMs: number; readonly count: number}[] =
    [];
  /** Monotonic time until which targets beyond a lowered number are expected to leave, in milliseconds. */
  private leavingUntilMs = -Infinity;
  private lastChoiceUntilMs = -Infinity;
  private closedUntilMs = -Infinity;

  /** Ordered number that has not been accepted by the platform yet. */
  get unsent(): number | undefined {
    return this.isUnsent ? this.ordered : undefined;
  }

  /** Last ordered number. */
  get orderedCount(): number | undefined {
    return this.ordered;
  }

  /** Number of ordered targets that are still expected. */
  get onTheWay(): number {
    return this.raises.reduce((sum, {count}) => sum + count, 0);
  }

  /**
   * Adopts the number that another holder recorded.
   *
   * @param count - Number of targets.
   */
  adopt(count: number): void {
    if (this.ordered === count) return;
    this.ordered = count;
    this.isAdopted = true;
    this.raises = [];
  }

  /**
   * Updates what is on its way by the targets seen now.
   *
   * @param seen - Targets of the zone.
   * @param bootMs - Time from an order until its targets serve, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  update(
    {ids, leaving, serving}: SeenTargets,
    bootMs: number,
    nowMs: number,
  ): void {
    this.present = ids.length;
    for (const id of ids) this.seenAtMs.set(id, nowMs);
    for (const id of leaving) this.seenAtMs.delete(id);
    for (const [id, atMs] of this.seenAtMs) {
      if (atMs < nowMs - missingMs) this.seenAtMs.delete(id);
    }
    const arrived = ids.filter(id => !this.known.has(id));
    for (const id of arrived) this.known.add(id);
    if (this.isAdopted) this.resume();
    else this.removeRaises(arrived.length);
    if (this.raises.some(({dueMs}) => dueMs <= nowMs)) {
      this.raises = this.raises.filter(({dueMs}) => dueMs > nowMs);
      this.lastChoiceUntilMs = nowMs + undeliveredBoots * bootMs;
    }
    this.servingSamples = this.servingSamples.filter(
      ({atMs}) => atMs >= nowMs - lossGraceMs,
    );
    this.servingSamples.push({atMs: nowMs, count: serving});
  }

  /**
   * The number that is in force: the ordered one, or that of the targets seen if there are more, or no order yet.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   */
  count(nowMs: number): number {
    if (this.ordered === undefined) return this.seenAtMs.size;
    if (nowMs < this.leavingUntilMs) return this.ordered;
    return Math.max(this.ordered, this.present);
  }

  /**
   * Number of targets that serve or are on their way.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   */
  effective(nowMs: number): number {
    const serving = Math.max(0, ...this.servingSamples.map(each => each.count));
    return Math.min(serving + this.onTheWay, this.count(nowMs));
  }

  /**
   * Whether the zone delivered what was ordered last.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   */
  delivers(nowMs: number): boolean {
    return nowMs >= this.lastChoiceUntilMs;
  }

  /**
   * Whether orders for the zone are possible: none was refused recently.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   */
  isOpen(nowMs: number): boolean {
    return nowMs >= this.closedUntilMs;
  }

  /**
   * Notes that a number was recorded, which now has to be sent.
   *
   * @param count - Number of targets.
   * @param bootMs - Time from an order until its targets serve, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  order(count: number, bootMs: number, nowMs: number): void {
    const change = count - this.count(nowMs);
    if (change > 0) {
      this.raises.push({count: change, dueMs: Infinity});
      this.leavingUntilMs = -Infinity;
    } else {
      this.removeRaises(-change);
      this.leavingUntilMs = nowMs + bootMs + bootMarginMs;
    }
    this.ordered = count;
    this.isUnsent = true;
  }

  /**
   * Notes that the platform accepted the ordered number.
   *
   * @param bootMs - Time from an order until its targets serve, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  accepted(bootMs: number, nowMs: number): void {
    this.isUnsent = false;
    this.acceptedCount = this.ordered;
    for (const raise of this.raises) {
      if (raise.dueMs === Infinity) {
        raise.dueMs = nowMs + bootMs + bootMarginMs;
      }
    }
  }

  /**
   * Notes that the platform refused the ordered number.
   *
   * @param bootMs - Time from an order until its targets serve, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  refused(bootMs: number, nowMs: number): void {
    this.isUnsent = false;
    this.ordered = this.acceptedCount;
    this.raises = this.raises.filter(({dueMs}) => dueMs !== Infinity);
    this.closedUntilMs = nowMs + refusedBoots * bootMs;
  }

  private resume(): void {
    this.isAdopted = false;
    const missing = (this.ordered ?? 0) - this.present;
    if (missing > 0) this.raises = [{count: missing, dueMs: Infinity}];
    // The holder before may have recorded the order without sending it. Targets beyond it may have been added since.
    this.isUnsent = missing > 0;
  }

  private removeRaises(count: number): void {
    for (const raise of this.raises) {
      const removed = Math.min(count, raise.count);
      raise.count -= removed;
      count -= removed;
    }
    this.raises = this.raises.filter(raise => raise.count > 0);
  }
}
