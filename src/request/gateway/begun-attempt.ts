import {
  exchangeFailures,
  type ExchangeFailure,
} from '../../connection/gateway/exchange.js';
import {
  requestKinds,
  type RequestKind,
} from '../../version/deployment/types.js';

/** Whether requests to plain services count as usage, as those to engines do. */
const countsPlainServices = true;

/** Failures after which a target may have run a stream of which no event arrived. */
const lostFailures: ReadonlySet<ExchangeFailure> = new Set([
  exchangeFailures.noAnswer,
  exchangeFailures.foreign,
]);

/** Finds out whether and when a target began the request of one attempt, and reports it once. */
export class BegunAttempt {
  private readonly isStream: boolean;
  /** Whether it was reported, or must not be. */
  private isDecided = false;

  /**
   * @param kind - Kind of the request's route.
   * @param sentMs - Time on the process's clock at which it was sent, in milliseconds.
   * @param report - Called with the time on the process's clock at which the target began, in milliseconds.
   */
  constructor(
    kind: RequestKind,
    private readonly sentMs: number,
    private readonly report: (atMs: number) => void,
  ) {
    this.isStream = kind === requestKinds.stream;
    this.isDecided = !this.isStream && !countsPlainServices;
  }

  /**
   * Applies the head of the response.
   *
   * @param notRun - Whether the target did not run the request.
   */
  head(notRun: boolean): void {
    if (notRun) this.isDecided = true;
    // A plain target begins when the request arrives, and responds when it has finished.
    else if (!this.isStream) this.began(this.sentMs);
  }

  /**
   * Applies the first event of a stream.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  event(nowMs: number): void {
    this.began(nowMs);
  }

  /**
   * Applies the end of an attempt that was sent.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @param failure - How the exchange ended, if it failed.
   */
  end(nowMs: number, failure?: ExchangeFailure): void {
    if (!this.isStream) this.began(this.sentMs);
    else if (failure && lostFailures.has(failure)) this.began(nowMs);
    this.isDecided = true;
  }

  private began(atMs: number): void {
    if (this.isDecided) return;
    this.isDecided = true;
    this.report(atMs);
  }
}
