import type {Cell} from './evidence-store.js';
import type {Reference} from './metrics.js';
import {Sketch} from './sketch.js';
import type {PairedCell} from './version-evaluator.js';

/** Number of latencies above which a reference is halved, so that it follows slow changes. */
const maxReferenceLatencies = 2000;
/** Maximum ratio of loads at which latencies of different periods are compared. */
const maxLoadRatio = 1.5;

/** References of the old version by route and zone, from closed periods only. */
export class ReferenceStore {
  private readonly places = new Map<string, Reference>();
  /** Moving average of the requests of both versions per period. */
  private usualLoad: number | undefined;

  /**
   * Returns the reference of a route in a zone.
   *
   * @param place - Route and zone, separated by a line feed.
   * @returns The reference, empty if there is none.
   */
  get(place: string): Reference {
    return this.places.get(place) ?? emptyReference();
  }

  /**
   * Adds a closed cell of the old version.
   *
   * @param place - Route and zone, separated by a line feed.
   * @param cell - Counts and latencies.
   */
  add(place: string, cell: Cell): void {
    const past = this.places.get(place) ?? emptyReference();
    this.places.set(place, past);
    past.requests += cell.requests;
    past.failures += cell.failures;
    past.firstToken.merge(cell.firstToken);
    past.token.merge(cell.token);
    if (past.firstToken.total > maxReferenceLatencies) {
      past.firstToken.decay();
      past.token.decay();
      past.requests /= 2;
      past.failures /= 2;
    }
  }

  /** Whether responses of the old version had a time per token. */
  get hasTokens(): boolean {
    for (const past of this.places.values()) {
      if (past.token.total > 0) return true;
    }
    return false;
  }

  /** @returns Failure rate of the old version over all places, 0 to 1. */
  failureRate(): number {
    let requests = 0;
    let failures = 0;
    for (const past of this.places.values()) {
      requests += past.requests;
      failures += past.failures;
    }
    return requests > 0 ? failures / requests : 0;
  }

  /**
   * Updates the usual load while the old version still has at least half of the requests.
   *
   * @param pairs - Cells of a closed period.
   */
  closePeriod(pairs: readonly PairedCell[]): void {
    const {all, old} = countRequests(pairs);
    if (all === 0 || old < all * 0.5) return;
    this.usualLoad = (this.usualLoad ?? all) * 0.9 + all * 0.1;
  }

  /**
   * Checks whether the load is close to the usual load, at which the references were recorded.
   *
   * @param pairs - Cells of a period.
   * @returns Whether latencies can be compared.
   */
  similarLoad(pairs: readonly PairedCell[]): boolean {
    return (
      this.usualLoad !== undefined &&
      countRequests(pairs).all <= this.usualLoad * maxLoadRatio
    );
  }
}

function countRequests(pairs: readonly PairedCell[]): {
  all: number;
  old: number;
} {
  let all = 0;
  let old = 0;
  for (const pair of pairs) {
    old += pair.old?.requests ?? 0;
    all += (pair.old?.requests ?? 0) + (pair.now?.requests ?? 0);
  }
  return {all, old};
}

function emptyReference(): Reference {
  return {
    requests: 0,
    failures: 0,
    firstToken: new Sketch(),
    token: new Sketch(),
  };
}
