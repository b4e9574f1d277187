import type {ServerResponse} from 'node:http';
import {ByteBuffer} from '../../process/byte-buffer.js';
import type {Clock} from '../../process/clock.js';
import {SseSplitter} from '../sse-splitter.js';
import {EventBatch} from './event-batch.js';
import {lastEventIdOf} from './event-ids.js';
import type {ResponseHead} from './wire-format.js';

/** Plain responses up to this size in bytes are buffered, so that a failed one can be retried. */
const maxHeldBytes = 256 * 1024;
/** Maximum size of an event, in bytes; a target that sends a larger one has failed. */
const maxEventBytes = 256 * 1024;

/** Last part of a response up to which it is not checked whether the caller reads it, in bytes. */
const maxUnchargedBytes = 16 * 1024;

/** Flow control towards the target. */
export interface RelayFlow {
  readonly pause: () => void;
  readonly resume: () => void;
  /** Called when bytes wait in this process for the caller. */
  readonly onUnread?: () => void;
}

/** Relays the response of one request, which may come from several targets in turn. */
export class ResponseRelay {
  private head: ResponseHead | undefined;
  private splitter: SseSplitter | undefined;
  private readonly held = new ByteBuffer();
  /** Whether the head of the response was sent to the caller. */
  started = false;
  /** Last complete events sent; a retry on another target resumes after them. */
  private lastSentEvents: Buffer | undefined;
  /** Number of events that earlier targets sent. */
  private earlierEvents = 0;
  /** Whether an earlier target stopped within an event, which the present one has to send. */
  private owesEvent = false;
  /** Times of the first and latest event, or first byte, on the process's clock, in milliseconds. */
  firstAtMs: number | undefined;
  lastAtMs: number | undefined;

  private readonly batch: EventBatch;
  private awaitsDrain = false;
  /** Time at which the caller read on after the target was paused, in milliseconds. */
  private drainedAtMs = -Infinity;

  /**
   * @param res - Response to the caller.
   * @param closesConnection - Returns whether the connection is closed after the response.
   * @param flow - Pauses the target while the caller reads slowly.
   * @param clock - Clock of the process.
   * @param eventDelayMs - Maximum time from an event at its target until it reaches the caller, in milliseconds.
   */
  constructor(
    private readonly res: ServerResponse,
    private readonly closesConnection: () => boolean,
    private readonly flow: RelayFlow,
    private readonly clock: Clock,
    eventDelayMs: number,
  ) {
    res.on('error', () => {}); // 'close' follows.
    this.batch = new EventBatch(clock, eventDelayMs, events =>
      this.write(events),
    );
  }

  /** Number of complete events received. */
  get events(): number {
    return this.splitter?.events ?? 0;
  }

  /** Time since the last event if the caller has received a part of a stream, in milliseconds. */
  get silentMs(): number | undefined {
    if (!this.started || this.lastAtMs === undefined) return undefined;
    return this.clock.nowMs() - this.lastAtMs;
  }

  /**
   * Time on the process's clock since which the target could have sent an event and did not, in milliseconds. It is
   * infinite while the target is paused because the caller reads slowly.
   */
  get readableSinceMs(): number {
    if (this.awaitsDrain) return Infinity;
    return Math.max(this.lastAtMs ?? 0, this.drainedAtMs);
  }

  /** Id of the last complete event sent, if events have ids. */
  get lastEventId(): string | undefined {
    // Few streams are resumed, so the events are parsed for ids only on demand.
    return this.lastSentEvents && lastEventIdOf(this.lastSentEvents);
  }

  /** Whether another target can give the response, or the rest of it if a part of a stream was sent. */
  get canRestart(): boolean {
    if (!this.started) return true;
    return this.lastEventId !== undefined && this.splitter?.aligned === true;
  }

  /**
   * Accepts the head of a response. Once the caller has received a head, only a stream with the same status may follow:
   * the caller cannot see another status or content type and would take the body for the rest of the stream.
   *
   * @param head - Head as received from the target.
   * @returns Whether the body may be relayed.
   */
  begin(head: ResponseHead): boolean {
    if (this.started) {
      return (
        this.splitter !== undefined &&
        head.eventStream &&
        head.status === this.head?.status
      );
    }
    this.head = head;
    if (head.eventStream && head.status < 300) {
      this.splitter = new SseSplitter(Infinity);
    }
    return true;
  }

  /** Discards what the caller has not received, before a retry on another target. */
  restart(): void {
    this.held.clear();
    this.owesEvent =
      this.lacksOwedEvent || this.splitter?.hasPartialEvent === true;
    this.splitter?.discardPartial();
    this.earlierEvents = this.events;
    if (this.started) return;
    this.head = undefined;
    this.splitter = undefined;
    this.firstAtMs = undefined;
    this.earlierEvents = 0;
    this.owesEvent = false;
  }

  /**
   * Relays or buffers a chunk of the body.
   *
   * @param chunk - Bytes as received.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @param resumable - Whether the route allows a retry that resumes the stream after this chunk.
   * @returns `false` if the chunk is part of an event that is too large, which is not relayed.
   */
  data(chunk: Buffer, nowMs: number, resumable: boolean): boolean {
    if (!this.splitter) {
      this.firstAtMs ??= nowMs;
      this.hold(chunk);
      return true;
    }
    const events = this.splitter.push(chunk);
    if (this.splitter.pendingBytes > maxEventBytes) {
      this.splitter.discardPartial();
      return false;
    }
    if (events.length === 0) return true;
    this.firstAtMs ??= nowMs;
    this.lastAtMs = nowMs;
    if (resumable || !this.started) {
      this.lastSentEvents = events;
    }
    this.batch.add(events);
    return true;
  }

  /** Sends events that were received but not sent yet, before the response is aborted. */
  flush(): void {
    this.batch.flush();
  }

  /** Stops sending, because the caller's connection is closed. */
  stop(): void {
    this.batch.stop();
  }

  /**
   * Checks that a response which ended was not cut short. A target may stop within an event and end its response as if
   * it were complete, by its length or the last chunk.
   *
   * @param framed - Whether the response has a known length or is chunked.
   * @returns Whether the response is complete.
   */
  isComplete(framed: boolean): boolean {
    const {splitter} = this;
    if (!splitter) return true;
    if (splitter.isWithinEvent || this.lacksOwedEvent) return false;
    // An unframed stream that ends before its first event was cut short.
    return framed || splitter.events > this.earlierEvents;
  }

  private get lacksOwedEvent(): boolean {
    return this.owesEvent && this.events === this.earlierEvents;
  }

  /** Sends what is buffered and ends the response. */
  end(): void {
    const rest = this.splitter
      ? Buffer.concat([this.batch.take(), this.splitter.flush()])
      : this.held.take();
    if (!this.started) {
      this.sendHead();
      this.res.end(rest);
    } else this.res.end(rest.length > 0 ? rest : undefined);
    if (rest.length > maxUnchargedBytes) this.flow.onUnread?.();
  }

  private hold(chunk: Buffer): void {
    if (this.started) return this.write(chunk);
    this.held.append(chunk);
    if (this.held.length > maxHeldBytes) this.write(this.held.take());
  }

  private write(bytes: Buffer): void {
    if (!this.started) this.sendHead();
    if (this.res.write(bytes)) return;
    this.flow.onUnread?.();
    this.flow.pause();
    // What the target has sent already still arrives after the pause.
    if (this.awaitsDrain) return;
    this.awaitsDrain = true;
    this.res.once('drain', () => {
      this.awaitsDrain = false;
      this.drainedAtMs = this.clock.nowMs();
      this.flow.resume();
    });
  }

  private sendHead(): void {
    const {head} = this;
    if (!head) return;
    this.started = true;
    const headers: Record<string, string | string[]> = {...head.relayed};
    // Another target may go on with the stream, and its events may have other sizes.
    if (this.splitter) delete headers['content-length'];
    if (this.closesConnection()) headers.connection = 'close';
    this.res.writeHead(head.status, headers);
  }
}
