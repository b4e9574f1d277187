/** Weight of a new sample. */
const sampleWeight = 0.05;
/** Time that a stream of a route without samples takes, in milliseconds. */
const defaultStreamMs = 1200;
/** Tokens that a stream of a route without samples has. */
const defaultTokens = 200;
/** Time that a plain answer of a route without samples takes, in milliseconds. */
const defaultAnswerMs = 30;

interface RouteAverages {
  slotMs: number;
  firstMs: number;
  tokens: number;
}

/** Remembers how long requests of each route take at targets. */
export class RouteStats {
  private readonly routes = new Map<string, RouteAverages>();

  /**
   * Records an answer.
   *
   * @param route - Name of the route.
   * @param slotMs - Time for which it took a slot, in milliseconds.
   * @param firstMs - Time to its first event or its end, in milliseconds.
   * @param tokens - Tokens that were generated.
   */
  record(route: string, slotMs: number, firstMs: number, tokens: number): void {
    const known = this.routes.get(route);
    if (!known) {
      this.routes.set(route, {slotMs, firstMs, tokens});
      return;
    }
    known.slotMs += sampleWeight * (slotMs - known.slotMs);
    known.firstMs += sampleWeight * (firstMs - known.firstMs);
    known.tokens += sampleWeight * (tokens - known.tokens);
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
    return known?.slotMs ?? (stream ? defaultStreamMs : defaultAnswerMs);
  }

  /**
   * Estimates the tokens of a stream.
   *
   * @param route - Name of the route.
   */
  tokens(route: string): number {
    return this.routes.get(route)?.tokens ?? defaultTokens;
  }

  /**
   * Estimates the time to the first event, or to the end of a plain answer.
   *
   * @param route - Name of the route.
   * @returns Time, in milliseconds.
   */
  firstMs(route: string): number {
    return this.routes.get(route)?.firstMs ?? defaultAnswerMs;
  }
}
