import type {Bounds} from '../gateway-settings.js';

/** Fraction of the budget that is used; the rest covers requests that cross the end of a window. */
const usableShare = 0.8;
/** Slices into which the sliding window is divided. */
const slicesPerWindow = 10;

/** Counters of one slice of the window. */
interface Slice {
  requests: number;
  retries: number;
}

/**
 * Limits the retries of all hosts together for each service, over a sliding window. Each host earns retries
 * by its own requests and has an equal share of the fixed slack, so hosts need not exchange messages.
 */
export class ServiceRetryBudget {
  private readonly services = new Map<string, Slice[]>();
  private sliceStartMs = 0;

  /**
   * @param bounds - Retries per request, window and fixed slack of the deployment.
   * @param hosts - Returns the number of hosts among which the slack is divided, including this one.
   */
  constructor(
    private readonly bounds: Pick<
      Bounds,
      'retryRatio' | 'retryWindowMs' | 'retrySlack'
    >,
    private readonly hosts: () => number,
  ) {}

  /**
   * Counts a request, which earns a fraction of a retry.
   *
   * @param service - Service of the request.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  request(service: string, nowMs: number): void {
    this.current(service, nowMs).requests++;
  }

  /**
   * Takes retries if the budget allows them.
   *
   * @param service - Service of the request.
   * @param nowMs - Monotonic time, in milliseconds.
   * @param count - Number of retries to take.
   * @returns Whether the retries were taken from the budget; none is taken otherwise.
   */
  take(service: string, nowMs: number, count = 1): boolean {
    const current = this.current(service, nowMs);
    let requests = 0;
    let retries = 0;
    for (const slice of this.services.get(service) ?? []) {
      requests += slice.requests;
      retries += slice.retries;
    }
    const {retryRatio, retrySlack} = this.bounds;
    const allowed =
      usableShare *
      (retryRatio * requests + retrySlack / Math.max(1, this.hosts()));
    if (retries + count > allowed) return false;
    current.retries += count;
    return true;
  }

  /**
   * Returns a retry that was taken and not used.
   *
   * @param service - Service of the request.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  giveBack(service: string, nowMs: number): void {
    this.current(service, nowMs).retries--;
  }

  private current(service: string, nowMs: number): Slice {
    const sliceMs = this.bounds.retryWindowMs / slicesPerWindow;
    const passed = Math.floor((nowMs - this.sliceStartMs) / sliceMs);
    if (passed > 0) {
      this.sliceStartMs += passed * sliceMs;
      for (const list of this.services.values()) {
        for (let i = 0; i < Math.min(passed, slicesPerWindow); i++) {
          list.push({requests: 0, retries: 0});
          if (list.length > slicesPerWindow) list.shift();
        }
      }
    }
    let list = this.services.get(service);
    if (!list) {
      list = [{requests: 0, retries: 0}];
      this.services.set(service, list);
    }
    return list[list.length - 1];
  }
}
