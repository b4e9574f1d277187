import {LengthEstimator, type ResponseLength} from './length-estimate.js';

/** Weight of a new sample in the moving averages. */
const sampleWeight = 0.05;
/** Expected duration of a stream on a route without samples, in milliseconds. */
const defaultStreamMs = 1200;
/** Expected duration of a plain response on a route without samples, in milliseconds. */
const defaultResponseMs = 30;

interface RouteAverages {
  slotMs: number;
  firstMs: number;
}

/** Moving averages of response times and lengths by route. */
export class RouteStats {
  private readonly routes = new Map<string, RouteAverages>();
  private readonly estimators = new Map<string, LengthEstimator>();

  /**
   * Records a completed response.
   *
   * @param route - Name of the route.
   * @param slotMs - Time for which the request occupied a slot, in milliseconds.
   * @param firstMs - Time to the first event, or to the first byte of a plain response, in milliseconds.
   * @param tokens - Generated tokens; 0 for plain services.
   * @param hint - The caller's estimate in tokens, if stated.
   */
  record(
    route: string,
    slotMs: number,
    firstMs: number,
    tokens: number,
    hint?: number,
  ): void {
    this.estimatorOf(route).record(tokens, hint);
    const known = this.routes.get(route);
    if (!known) {
      this.routes.set(route, {slotMs, firstMs});
      return;
    }
    known.slotMs += sampleWeight * (slotMs - known.slotMs);
    known.firstMs += sampleWeight * (firstMs - known.firstMs);
  }

  /**
   * Estimates how long a request occupies a slot.
   *
   * @param route - Name of the route.
   * @param stream - Whether its responses are streams.
   * @returns Time in milliseconds.
   */
  slotMs(route: string, stream: boolean): number {
    const known = this.routes.get(route);
    return known?.slotMs ?? (stream ? defaultStreamMs : defaultResponseMs);
  }

  /**
   * Estimates the length of a response.
   *
   * @param route - Name of the route.
   * @param hint - The caller's estimate in tokens, if stated.
   * @returns Mean and long estimate in tokens.
   */
  length(route: string, hint: number | undefined): ResponseLength {
    return this.estimatorOf(route).estimate(hint);
  }

  private estimatorOf(route: string): LengthEstimator {
    let estimator = this.estimators.get(route);
    if (!estimator) {
      estimator = new LengthEstimator();
      this.estimators.set(route, estimator);
    }
    return estimator;
  }

  /**
   * Estimates the time to the first event, or to the first byte of a plain response.
   *
   * @param route - Name of the route.
   * @returns Time in milliseconds.
   */
  firstMs(route: string): number {
    return this.routes.get(route)?.firstMs ?? defaultResponseMs;
  }
}
