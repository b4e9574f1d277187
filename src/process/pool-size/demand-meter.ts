/** Time over which arrivals and refusals are counted, in milliseconds. */
export const demandWindowMs = 2000;
/** Parts into which the window is divided. */
const bucketCount = 4;
const bucketMs = demandWindowMs / bucketCount;

/** What callers need of a service, as one host or all hosts together see it. */
export interface Demand {
  /** Slots that the arriving requests occupy, by their expected slot times. */
  readonly offeredSlots: number;
  /** Expected slot time of the waiting requests, in milliseconds. */
  readonly waitingMs: number;
  /** Rate of requests that are refused for lack of slots, per second. */
  readonly refusedPerSecond: number;
}

/** Receives what happens to the requests of callers. */
export abstract class DemandObserver {
  /**
   * Called for each request of a caller that may run, once; not for one that a caller repeats after a refusal.
   *
   * @param service - Name of the service.
   * @param slotMs - Expected time for which it occupies a slot, in milliseconds.
   */
  abstract arrived(service: string, slotMs: number): void;

  /**
   * Called when a request is refused for lack of slots.
   *
   * @param service - Name of the service.
   */
  abstract refused(service: string): void;
}

interface Bucket {
  /** Number of the bucket since time 0. */
  index: number;
  slotMs: number;
  refused: number;
}

/** Measures the demand that reaches this host. */
export class DemandMeter extends DemandObserver {
  private readonly buckets = new Map<string, Bucket[]>();

  /**
   * @param nowMs - Returns the monotonic time, in milliseconds.
   * @param waitingMs - Returns the expected slot time of the requests that wait for a service, in milliseconds.
   */
  constructor(
    private readonly nowMs: () => number,
    private readonly waitingMs: (service: string) => number,
  ) {
    super();
  }

  override arrived(service: string, slotMs: number): void {
    this.bucketOf(service).slotMs += slotMs;
  }

  override refused(service: string): void {
    this.bucketOf(service).refused++;
  }

  /**
   * Measures the demand for a service now.
   *
   * @param service - Name of the service.
   */
  demandFor(service: string): Demand {
    const nowMs = this.nowMs();
    const oldest = Math.floor(nowMs / bucketMs) - bucketCount;
    let slotMs = 0;
    let refused = 0;
    for (const bucket of this.buckets.get(service) ?? []) {
      if (bucket.index <= oldest) continue;
      slotMs += bucket.slotMs;
      refused += bucket.refused;
    }
    // The newest bucket is not over yet.
    const overMs = nowMs - (oldest + 1) * bucketMs;
    return {
      offeredSlots: slotMs / overMs,
      waitingMs: this.waitingMs(service),
      refusedPerSecond: (refused * 1000) / overMs,
    };
  }

  private bucketOf(service: string): Bucket {
    const index = Math.floor(this.nowMs() / bucketMs);
    const buckets = this.buckets.get(service) ?? [];
    const newest = buckets.at(-1);
    if (newest?.index === index) return newest;
    const bucket = {index, slotMs: 0, refused: 0};
    const recent = buckets.filter(each => each.index > index - bucketCount);
    this.buckets.set(service, [...recent, bucket]);
    return bucket;
  }
}
