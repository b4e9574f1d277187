import type {ServerResponse} from 'node:http';
import {SseSplitter} from '../sse-splitter.js';
import {lastEventIdOf} from './event-ids.js';
import type {ResponseHead} from './wire-format.js';

/** Plain answers up to this size are held until they are whole, so that a broken one can be replaced. */
const maxHeldBytes = 256 * 1024;
/** Greatest event that is held back until it is whole, in bytes. */
const maxEventBytes = 256 * 1024;

/** Slows down what is relayed. */
export interface RelayFlow {
  readonly pause: () => void;
  readonly resume: () => void;
}

/** Relays the answer of one request, which may come from more than one target. */
export class ResponseRelay {
  private head: ResponseHead | undefined;
  private splitter: SseSplitter | undefined;
  private held: Buffer[] = [];
  private heldBytes = 0;
  /** Whether any byte was sent to the caller. */
  started = false;
  /** Whole events that were sent last, of those with which another target may go on. */
  private lastSentEvents: Buffer | undefined;
  /** Times of the first and the latest event or byte, on the process's clock. */
  firstAtMs: number | undefined;
  lastAtMs: number | undefined;

  /**
   * @param res - Answer to the caller.
   * @param closesConnection - Whether the connection is closed after the answer.
   * @param flow - Slows down the target when the caller reads slowly.
   */
  constructor(
    private readonly res: ServerResponse,
    private readonly closesConnection: () => boolean,
    private readonly flow: RelayFlow,
  ) {}

  /** Whole events so far. */
  get events(): number {
    return this.splitter?.events ?? 0;
  }

  /** Id of the last whole event that was sent, if events have ids. */
  get lastEventId(): string | undefined {
    // Few streams are resumed, so events are searched for their ids only then.
    return this.lastSentEvents && lastEventIdOf(this.lastSentEvents);
  }

  /** Whether another target can go on with the stream where this one stopped. */
  get canResume(): boolean {
    return this.lastEventId !== undefined && this.splitter?.aligned === true;
  }

  /**
   * Takes the head of an answer.
   *
   * @param head - Head; that of the first target is sent to the caller.
   */
  begin(head: ResponseHead): void {
    if (this.started) return;
    this.head = head;
    if (head.eventStream && head.status < 300) {
      this.splitter = new SseSplitter(maxEventBytes);
    }
  }

  /** Forgets what was not sent yet, before another target is asked. */
  restart(): void {
    this.held = [];
    this.heldBytes = 0;
    this.splitter?.discardPartial();
    if (this.started) return;
    this.head = undefined;
    this.splitter = undefined;
    this.firstAtMs = undefined;
  }

  /**
   * Takes bytes of the answer.
   *
   * @param chunk - Bytes as received.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @param resumable - Whether another target may go on with the stream.
   */
  data(chunk: Buffer, nowMs: number, resumable: boolean): void {
    if (!this.splitter) {
      this.firstAtMs ??= nowMs;
      this.hold(chunk);
      return;
    }
    const events = this.splitter.push(chunk);
    if (events.length === 0) return;
    this.firstAtMs ??= nowMs;
    this.lastAtMs = nowMs;
    if (resumable || !this.started) {
      this.lastSentEvents = events;
    }
    this.write(events);
  }

  /**
   * Tells whether the answer that has ended is whole.
   *
   * @param framed - Whether its length was known.
   */
  isComplete(framed: boolean): boolean {
    // A stream without a length that ends within an event was cut off.
    return framed || !this.splitter || this.splitter.flush().length === 0;
  }

  /** Ends the answer. */
  end(): void {
    const rest = this.splitter?.flush() ?? Buffer.concat(this.held);
    this.held = [];
    if (this.started) {
      this.res.end(rest.length > 0 ? rest : undefined);
      return;
    }
    this.sendHead();
    this.res.end(rest);
  }

  private hold(chunk: Buffer): void {
    if (this.started) return this.write(chunk);
    this.held.push(chunk);
    this.heldBytes += chunk.length;
    if (this.heldBytes <= maxHeldBytes) return;
    const held = Buffer.concat(this.held);
    this.held = [];
    this.write(held);
  }

  private write(bytes: Buffer): void {
    if (!this.started) this.sendHead();
    if (this.res.write(bytes)) return;
    this.flow.pause();
    this.res.once('drain', this.flow.resume);
  }

  private sendHead(): void {
    const {head} = this;
    if (!head) return;
    this.started = true;
    const headers: Record<string, string | string[]> = {...head.relayed};
    if (this.closesConnection()) headers.connection = 'close';
    this.res.writeHead(head.status, headers);
  }
}
