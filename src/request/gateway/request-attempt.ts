import type {
  Exchange,
  ExchangeFailure,
} from '../../connection/gateway/exchange.js';
import type {AttemptEnd} from '../../process/crashes/running-attempts.js';
import type {GatewayRetryReason} from '../../process/gateway-metrics.js';
import type {Outcome} from '../../process/pool/pooled-target.js';
import type {AdmittedRequest, GatewayRequestParts} from './admitted-request.js';
import type {RequestState} from './open-request-check.js';
import type {RefusalName} from './refusal-reasons.js';
import type {ResponseRelay} from './response-relay.js';
import type {ResponseHead} from './wire-format.js';

/** What an attempt adds to the request of the caller. */
export interface AttemptOptions {
  /** Deadline on the process's clock, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Id of the last event that the caller received, if a stream is resumed. */
  readonly lastEventId?: string;
}

/** Where an attempt was sent; one of the names is present. */
export interface AttemptPeer {
  /** Id of the target. */
  readonly target?: string;
  /** Name of the host that relays it. */
  readonly relay?: string;
}

/** One attempt of a request, from the choice of where it is sent to its end. */
export abstract class RequestAttempt {
  /** Time on the process's clock at which it began, in milliseconds. */
  readonly startMs: number;
  head?: ResponseHead;
  /** Whether the stall was already recorded. */
  stalled = false;
  /** Whether the request was not sent although the connection was open, because it was no longer allowed. */
  withheld = false;
  /** Whether the end of a response without a length was checked, or is being checked. */
  endChecked = false;

  abstract readonly exchange: Exchange;
  abstract readonly peer: AttemptPeer;

  /**
   * @param parts - Dependencies of requests.
   * @param request - Request to send.
   */
  constructor(
    protected readonly parts: GatewayRequestParts,
    protected readonly request: AdmittedRequest,
  ) {
    this.startMs = parts.clock.nowMs();
  }

  /** Whether a target may have run the request. */
  get mayHaveArrived(): boolean {
    return this.exchange.mayHaveArrived;
  }

  /** State for logs. */
  get state(): RequestState {
    const {endChecked, head, mayHaveArrived, peer, stalled, withheld} = this;
    const sinceMs = Math.round(this.parts.clock.nowMs() - this.startMs);
    return {
      ...peer,
      sinceMs,
      mayHaveArrived,
      status: head?.status,
      stalled,
      withheld,
      endChecked,
    };
  }

  /**
   * Finds the reason for which the request is retried after a failure.
   *
   * @param failure - How the exchange ended.
   */
  retryReason(failure: ExchangeFailure): GatewayRetryReason {
    if (this.mayHaveArrived) return failure;
    return this.withheld ? 'withheld' : 'not-sent';
  }

  /** Why the request is retried after a response that says that it was not run. */
  abstract get refusedReason(): GatewayRetryReason;

  /** Refusal of the request if it is not retried and no target can have run it. */
  abstract get refusal(): RefusalName;

  /**
   * Records the head of the response.
   *
   * @param head - Head as received.
   */
  recordHead(head: ResponseHead): void {
    this.head = head;
  }

  /**
   * Records that a part of the response was received.
   *
   * @param relay - Response so far.
   */
  abstract recordData(relay: ResponseRelay): void;

  /**
   * Records that nothing was received for too long.
   *
   * @param sinceMs - Time for which nothing was received, in milliseconds.
   */
  abstract recordStall(sinceMs: number): void;

  /**
   * Records the end of the response as evidence about who gave it.
   *
   * @param relay - Response with its event times.
   * @param failed - Whether the attempt failed.
   */
  abstract recordResponse(relay: ResponseRelay, failed: boolean): void;

  /**
   * Logs that no complete response came.
   *
   * @param failure - How the exchange ended.
   * @param reason - Details of the failure.
   */
  abstract logFailure(failure: ExchangeFailure, reason: string): void;

  /**
   * Finds out whether a response without a length is complete, or ended because its target did.
   *
   * @param onChecked - Called at most once, not after {@link release}.
   */
  abstract checkEnd(onChecked: (isComplete: boolean) => void): void;

  /**
   * Finds out whether the target crashed, if the failure suggests it.
   *
   * @param failure - How the exchange ended.
   * @param onChecked - Called once, when it is known or after a short time.
   */
  abstract checkCrash(failure: ExchangeFailure, onChecked: () => void): void;

  /**
   * Releases what the attempt occupies after a failure.
   *
   * @param failure - How the exchange ended.
   */
  abstract releaseFailed(failure: ExchangeFailure): void;

  /**
   * Releases what the attempt occupies.
   *
   * @param outcome - How it ended.
   * @param end - How it ended for the detection of crashes.
   */
  abstract release(outcome: Outcome, end?: AttemptEnd): void;
}
