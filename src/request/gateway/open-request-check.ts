import type {IncomingMessage, ServerResponse} from 'node:http';
import type {DecisionLog} from '../../process/decision-log.js';
import type {GatewayMetrics} from '../../process/gateway-metrics.js';
import type {RefusalName} from './refusal-reasons.js';

/**
 * Time by which the response to a request must have ended after its deadline, or after its last byte if it was neither
 * admitted nor refused, in milliseconds.
 */
export const maxOverdueMs = 500;

/** How a request is open although its response should have ended. */
export const overdueKinds = {
  /** It was read completely, and neither admitted nor refused. */
  unhandled: 'unhandled',
  /** It was admitted, and its deadline has passed. */
  pastDeadline: 'past-deadline',
  /** It was finished, and its response has neither ended nor been destroyed. */
  unanswered: 'unanswered',
} as const;

/** One of {@link overdueKinds}. */
export type OverdueKind = (typeof overdueKinds)[keyof typeof overdueKinds];

/** State of a request, for logs. */
export type RequestState = Readonly<Record<string, unknown>>;

/** Receives each request whose response should have ended. */
export abstract class OverdueSink {
  /**
   * Reports a request; called once for each.
   *
   * @param kind - How the request is open.
   * @param state - State of the request.
   */
  abstract overdue(kind: OverdueKind, state: RequestState): void;
}

/** Throws on the first request whose response should have ended. */
export class ThrowingOverdueSink extends OverdueSink {
  override overdue(kind: OverdueKind, state: RequestState): void {
    throw new Error(`request ${kind}: ${JSON.stringify(state)}`);
  }
}

/** Counts and logs the requests whose responses should have ended. */
export class LoggingOverdueSink extends OverdueSink {
  /**
   * @param metrics - Counts the requests.
   * @param decisions - Receives their states.
   */
  constructor(
    private readonly metrics: GatewayMetrics,
    private readonly decisions: DecisionLog,
  ) {
    super();
  }

  override overdue(kind: OverdueKind, state: RequestState): void {
    this.metrics.requestOverdue(kind);
    this.decisions.log('requestOverdue', {kind, ...state});
  }
}

/** An admitted request, as far as {@link OpenRequestCheck} needs it. */
export interface CheckedRequest {
  /** Deadline on the process's clock, in milliseconds. */
  readonly deadlineAtMs: number;
  readonly state: RequestState;
}

/** An admitted request that the periodic check and the end of the host concern. */
export abstract class ServedRequest implements CheckedRequest {
  abstract readonly deadlineAtMs: number;
  abstract readonly state: RequestState;
  /** Whether it waits for a slot. */
  abstract readonly isWaiting: boolean;

  /**
   * Looks for reasons to refuse the request or to retry it.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  abstract check(nowMs: number): void;

  /**
   * Ends the request before its response is complete.
   *
   * @param unsent - Its refusal if no target has received it.
   * @param running - Its refusal if a target may have run it.
   */
  abstract expire(unsent: RefusalName, running: RefusalName): void;
}

/** A request from the arrival of its head until its response ends. */
export interface OpenRequest {
  readonly requestId: string;
  readonly arrivedMs: number;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** Set when the request is admitted. */
  admitted?: CheckedRequest;
}

/** Finds requests whose responses should have ended and have not. */
export class OpenRequestCheck {
  private readonly open = new Set<OpenRequest>();
  /** Time at which each request that is not handled was first found complete, in milliseconds. */
  private readonly completeSinceMs = new WeakMap<OpenRequest, number>();

  /** @param sink - Receives the requests that are found. */
  constructor(private readonly sink: OverdueSink) {}

  /** Number of requests that are tracked. */
  get size(): number {
    return this.open.size;
  }

  /**
   * Begins to track a request.
   *
   * @param request - Request whose head has arrived.
   */
  add(request: OpenRequest): void {
    this.open.add(request);
  }

  /**
   * Ends the tracking of a request that was refused or is finished. Its response must have ended.
   *
   * @param request - Request from {@link add}.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  end(request: OpenRequest, nowMs: number): void {
    const {res} = request;
    if (!this.open.delete(request) || res.writableEnded || res.destroyed)
      return;
    this.report(overdueKinds.unanswered, request, nowMs);
  }

  /**
   * Checks all requests.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  check(nowMs: number): void {
    for (const request of this.open) {
      const {admitted, req, res} = request;
      if (admitted) {
        if (nowMs - admitted.deadlineAtMs <= maxOverdueMs) continue;
        this.open.delete(request);
        this.report(overdueKinds.pastDeadline, request, nowMs);
      } else if (res.destroyed || req.destroyed || req.socket.destroyed) {
        // The connection closed before the request was complete.
        this.open.delete(request);
      } else if (req.complete) {
        this.checkComplete(request, nowMs);
      }
    }
  }

  private checkComplete(request: OpenRequest, nowMs: number): void {
    const sinceMs = this.completeSinceMs.get(request);
    if (sinceMs === undefined) {
      this.completeSinceMs.set(request, nowMs);
    } else if (nowMs - sinceMs > maxOverdueMs) {
      this.open.delete(request);
      this.report(overdueKinds.unhandled, request, nowMs);
    }
  }

  private report(kind: OverdueKind, request: OpenRequest, nowMs: number): void {
    const {admitted, arrivedMs, req, requestId, res} = request;
    this.sink.overdue(kind, {
      request: requestId,
      heldMs: Math.round(nowMs - arrivedMs),
      complete: req.complete,
      headSent: res.headersSent,
      connected: !req.socket.destroyed,
      ...admitted?.state,
    });
  }
}
