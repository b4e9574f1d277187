/** Time over which the rise of the load is measured, in milliseconds. */
const trendMs = 4000;
/** Largest share of the present load by which the expected load exceeds it. A short rise says little about its end. */
const maxRise = 0.25;

interface LoadSample {
  readonly atMs: number;
  readonly slots: number;
  /** Mean of the samples of the boot time that ends here. */
  readonly meanSlots: number;
}

/** The highest load of a time. */
export interface LoadPeak {
  readonly slots: number;
  /** Highest mean over a boot time. */
  readonly meanSlots: number;
}

/** Load of a service in the last seconds, in slots. */
export class LoadHistory {
  private samples: LoadSample[] = [];
  private firstMs: number | undefined;
  /** Monotonic time since which the load is known without interruption, in milliseconds. */
  private completeSinceMs = Infinity;

  /**
   * Adds the present load.
   *
   * @param slots - Load, in slots.
   * @param bootMs - Time over which the mean is taken, in milliseconds.
   * @param keepMs - Time for which samples are kept, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  record(slots: number, bootMs: number, keepMs: number, nowMs: number): void {
    this.firstMs ??= nowMs;
    const recent = this.within(nowMs - bootMs, nowMs).map(each => each.slots);
    const meanSlots = mean([...recent, slots]) ?? slots;
    this.samples.push({atMs: nowMs, slots, meanSlots});
    this.samples = this.samples.filter(({atMs}) => atMs >= nowMs - keepMs);
    this.completeSinceMs = Math.min(this.completeSinceMs, nowMs);
  }

  /**
   * Mean load of the last boot time.
   *
   * @param bootMs - Boot time, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Mean in slots; 0 before a boot time has passed, since the first measurements may be wrong.
   */
  meanSlots(bootMs: number, nowMs: number): number {
    const {firstMs = nowMs} = this;
    if (nowMs - firstMs < bootMs) return 0;
    return this.samples.at(-1)?.meanSlots ?? 0;
  }

  /**
   * Estimates the load after a time by the rise of the last seconds.
   *
   * @param aheadMs - Time from now, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Load in slots, at least the present one.
   */
  expectedSlots(aheadMs: number, nowMs: number): number {
    const present = this.samples.at(-1)?.slots ?? 0;
    const middleMs = nowMs - trendMs / 2;
    const slotsOf = (fromMs: number, toMs: number) =>
      mean(this.within(fromMs, toMs).map(({slots}) => slots));
    const before = slotsOf(nowMs - trendMs, middleMs);
    const after = slotsOf(middleMs, nowMs);
    if (before === undefined || after === undefined) return present;
    const risePerMs = (after - before) / (trendMs / 2);
    const rise = Math.min(risePerMs * aheadMs, present * maxRise);
    return present + Math.max(0, rise);
  }

  /**
   * Finds the highest load of a time.
   *
   * @param overMs - Time before now, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The highest load, or `undefined` if the load was not known without interruption for this time.
   */
  peak(overMs: number, nowMs: number): LoadPeak | undefined {
    if (this.completeSinceMs > nowMs - overMs) return undefined;
    const samples = this.samples.filter(({atMs}) => atMs >= nowMs - overMs);
    return {
      slots: Math.max(0, ...samples.map(({slots}) => slots)),
      meanSlots: Math.max(0, ...samples.map(({meanSlots}) => meanSlots)),
    };
  }

  /** Notes that the load seen now may be lower than what callers need. */
  interrupt(): void {
    this.completeSinceMs = Infinity;
  }

  /** Samples after a time, up to another one. */
  private within(afterMs: number, untilMs: number): LoadSample[] {
    return this.samples.filter(({atMs}) => atMs > afterMs && atMs <= untilMs);
  }
}

function mean(values: readonly number[]): number | undefined {
  if (values.length === 0) return undefined;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
