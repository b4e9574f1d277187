import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {AheadLimit} from '../http/ahead-limit.js';
import type {PacedInput} from '../http/paced-input.js';

/** Number of requests that wait on a connection at most; they have been parsed together. */
const maxWaiting = 32;
/** Number of requests that are parsed on a connection after its end; each takes memory until the close. */
const maxDiscarded = 16;

/**
 * One connection of a caller: the requests in progress on it, and whether it accepts more.
 *
 * A connection that this host ends accepts nothing from then on, because no response could be sent. Its parser still
 * reads, and would otherwise hand over a request that crossed the end.
 */
export class CallerConnection {
  /** Responses in progress, in the order of their requests. */
  private readonly responses: ServerResponse[] = [];
  /** Responses of requests that wait until an earlier one has ended. */
  private readonly waiting: ServerResponse[] = [];
  private accepts = true;
  private discarded = 0;
  /** Whether the parser cannot continue. */
  private isInputRejected = false;
  /** Bytes parsed up to the end of the last request; more than that are the start of another one. */
  private requestBytes = 0;
  /** Time since which no request is in progress, in milliseconds. */
  private idleSinceMs: number;

  /**
   * @param socket - Connection to the caller.
   * @param input - Its input.
   * @param ahead - Limit of the requests in progress.
   * @param nowMs - Time of its opening, in milliseconds.
   */
  constructor(
    readonly socket: Socket,
    readonly input: PacedInput,
    private readonly ahead: AheadLimit,
    nowMs: number,
  ) {
    this.idleSinceMs = nowMs;
  }

  /** Whether requests that arrive are handled. */
  get isOpen(): boolean {
    return this.accepts && this.socket.writable;
  }

  /** Whether a request is in progress, or a part of one has arrived. */
  get isBusy(): boolean {
    const {parsed, waiting} = this.input;
    return this.responses.length > 0 || parsed + waiting > this.requestBytes;
  }

  /** Time since which there is no complete request, in milliseconds; `undefined` if one is in progress. */
  get incompleteSinceMs(): number | undefined {
    const isComplete = this.responses.some(({req}) => req.complete);
    return isComplete ? undefined : this.idleSinceMs;
  }

  /** Whether a response is in progress or will be. */
  get hasResponses(): boolean {
    return this.responses.length + this.waiting.length > 0;
  }

  /**
   * Keeps a request that arrived while the connection is open until {@link nextRequest} returns it; no more are parsed
   * until then.
   *
   * @param res - Its response.
   * @returns Whether it is kept; if not, it is not handled, and the connection accepts no more.
   */
  enqueue(res: ServerResponse): boolean {
    if (this.waiting.length >= maxWaiting) {
      this.accepts = false;
      return false;
    }
    this.waiting.push(res);
    this.updateHold();
    return true;
  }

  /** @returns The response of the next request that may begin, if there is one. */
  nextRequest(): ServerResponse | undefined {
    if (!this.ahead.mayBegin(this.responses.length)) return undefined;
    const next = this.waiting.shift();
    this.updateHold();
    return next;
  }

  /**
   * Begins a request.
   *
   * @param res - Its response.
   */
  add(res: ServerResponse): void {
    this.responses.push(res);
    this.ahead.record(this.responses.length - 1, this.responses.length);
    res.req.once('end', () => (this.requestBytes = this.input.parsed));
    // Either the caller asked for the end of the connection, or a response without a length will need it.
    if (!res.shouldKeepAlive || res.req.httpVersion === '1.0') {
      this.accepts = false;
      this.dropWaiting();
    }
  }

  /**
   * Removes a request whose response was sent or whose connection is closed.
   *
   * @param res - Its response.
   * @param nowMs - Present time, in milliseconds.
   */
  remove(res: ServerResponse, nowMs: number): void {
    const index = this.responses.indexOf(res);
    if (index >= 0) {
      this.responses.splice(index, 1);
      this.ahead.record(this.responses.length + 1, this.responses.length);
    }
    this.idleSinceMs = nowMs;
  }

  /**
   * Closes the responses in progress, because the connection is closed. Node.js closes only the one that is being sent;
   * the others would stay in progress, and their targets would work on.
   */
  closeResponses(): void {
    this.dropWaiting();
    for (const res of [...this.responses]) {
      res.destroy();
      res.emit('close');
    }
  }

  /**
   * Makes a response the last one of the connection, if no later request is in progress on it: a response after the last
   * one could not be sent.
   *
   * @param res - Response whose head is about to be sent.
   * @returns Whether the head has to announce that the connection closes.
   */
  closeAfter(res: ServerResponse): boolean {
    if (this.waiting.length > 0 || this.responses.at(-1) !== res) return false;
    this.accepts = false;
    return true;
  }

  /**
   * Accepts no more requests.
   *
   * @returns Whether it accepted none before.
   */
  stopAccepting(): boolean {
    const wasClosed = !this.isOpen;
    this.accepts = false;
    return wasClosed;
  }

  /** Counts a request that arrived after the end of the connection; beyond some, the rest of the input is dropped. */
  discard(): void {
    if (++this.discarded > maxDiscarded) this.input.drop();
  }

  /** Whether bytes that are no request have arrived. */
  get hasRejectedInput(): boolean {
    return this.isInputRejected;
  }

  /**
   * Accepts no more requests, because the bytes that arrive are none. A request whose body is incomplete is not handled.
   *
   * @returns Whether a response to a complete request, or the rest of a response, has to be sent first.
   */
  rejectInput(): boolean {
    this.accepts = false;
    this.isInputRejected = true;
    const pending: ServerResponse[] = [];
    for (const res of this.responses) {
      if (res.req.complete || res.headersSent) pending.push(res);
      // The rest of a body may still arrive after a timeout.
      else res.req.pause();
    }
    const before = this.responses.length;
    this.responses.splice(0, Infinity, ...pending);
    this.ahead.record(before, pending.length);
    if (this.waiting.at(-1)?.req.complete === false) this.waiting.pop();
    return this.hasResponses;
  }

  /**
   * Closes the connection for requests if it has been idle for some time.
   *
   * @param nowMs - Present time, in milliseconds.
   * @param idleMs - Minimum time without a request, in milliseconds.
   * @returns Whether it accepts no more requests now, so that it can be ended.
   */
  closeIfIdle(nowMs: number, idleMs: number): boolean {
    if (!this.isOpen || this.isBusy) return false;
    if (nowMs - this.idleSinceMs < idleMs) return false;
    this.accepts = false;
    return true;
  }

  private dropWaiting(): void {
    this.waiting.length = 0;
    this.updateHold();
  }

  private updateHold(): void {
    this.input.hold(this.waiting.length > 0);
  }
}
