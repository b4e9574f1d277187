import type {Bounds} from '../gateway-settings.js';

/** Part of the share that is used, so that requests which cross a period's end do not exceed it. */
const usedPart = 0.8;
/** Parts into which a period is divided. */
const slices = 10;

interface Slice {
  requests: number;
  repeats: number;
}

/**
 * Bounds how often requests for a service are sent again, over all hosts. Each host earns repeats by
 * its own requests and has an equal part of the fixed number, so no message is needed.
 */
export class ServiceRetryBudget {
  private readonly services = new Map<string, Slice[]>();
  private sliceStartMs = 0;

  /**
   * @param bounds - Bounds of the deployment.
   * @param hosts - Number of hosts that may be running.
   */
  constructor(
    private readonly bounds: Pick<
      Bounds,
      'retryRatio' | 'retryWindowMs' | 'retrySlack'
    >,
    private readonly hosts: () => number,
  ) {}

  /**
   * Counts a request.
   *
   * @param service - Service that it is for.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  request(service: string, nowMs: number): void {
    this.current(service, nowMs).requests++;
  }

  /**
   * Takes a repeat if there is one left.
   *
   * @param service - Service that would get the request again.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @returns Whether the request may be sent again.
   */
  take(service: string, nowMs: number): boolean {
    const current = this.current(service, nowMs);
    let requests = 0;
    let repeats = 0;
    for (const slice of this.services.get(service) ?? []) {
      requests += slice.requests;
      repeats += slice.repeats;
    }
    const {retryRatio, retrySlack} = this.bounds;
    const allowed =
      usedPart *
      (retryRatio * requests + retrySlack / Math.max(1, this.hosts()));
    if (repeats + 1 > allowed) return false;
    current.repeats++;
    return true;
  }

  private current(service: string, nowMs: number): Slice {
    const sliceMs = this.bounds.retryWindowMs / slices;
    const passed = Math.floor((nowMs - this.sliceStartMs) / sliceMs);
    if (passed > 0) {
      this.sliceStartMs += passed * sliceMs;
      for (const list of this.services.values()) {
        for (let i = 0; i < Math.min(passed, slices); i++) {
          list.push({requests: 0, repeats: 0});
          if (list.length > slices) list.shift();
        }
      }
    }
    let list = this.services.get(service);
    if (!list) {
      list = [{requests: 0, repeats: 0}];
      this.services.set(service, list);
    }
    return list[list.length - 1];
  }
}
