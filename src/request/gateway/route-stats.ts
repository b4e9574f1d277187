import {LengthEstimator, type ResponseLength} from './length-estimator.js';

/** Weight of a new sample. */
const sampleWeight = 0.05;
/** Time that a stream of a route without samples takes, in milliseconds. */
const defaultStreamMs = 1200;
/** Time that a plain answer of a route without samples takes, in milliseconds. */
const defaultResponseMs = 30;

interface RouteAverages {
  slotMs: number;
  firstMs: number;
}

/** Remembers how long requests of each route take at targets. */
export class RouteStats {
  private readonly routes = new Map<string, RouteAverages>();
  private readonly estimators = new Map<string, LengthEstimator>();

  /**
   * Records an answer.
   *
   * @param route - Name of the route.
   * @param slotMs - Time for which it took a slot, in milliseconds.
   * @param firstMs - Time to its first event or its end, in milliseconds.
   * @param tokens - Tokens that were generated; 0 for plain services.
   * @param hint - The caller's estimate of them, if it stated one.
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
   * Estimates how long a request takes a slot.
   *
   * @param route - Name of the route.
   * @param stream - Whether its answers are streams.
   * @returns Time, in milliseconds.
   */
  slotMs(route: string, stream: boolean): number {
    const known = this.routes.get(route);
    return known?.slotMs ?? (stream ? defaultStreamMs : defaultResponseMs);
  }

  /**
   * Estimates how long an answer will be.
   *
   * @param route - Name of the route.
   * @param hint - The caller's estimate, if it stated one.
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
   * Estimates the time to the first event, or to the end of a plain answer.
   *
   * @param route - Name of the route.
   * @returns Time, in milliseconds.
   */
  firstMs(route: string): number {
    return this.routes.get(route)?.firstMs ?? defaultResponseMs;
  }
}
