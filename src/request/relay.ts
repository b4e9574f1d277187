import type {Clock} from '../process/clock.js';
import type {TargetResponse} from '../connection/target/target-client.js';
import {responseHeaders} from '../connection/caller/headers.js';
import type {ResponseSink} from './response-sink.js';
import {maxRecordedBytes} from './claim-gate.js';
import {ByteBuffer} from '../process/byte-buffer.js';
import {SseSplitter} from './sse-splitter.js';

/** Responses up to this size are buffered until complete, so that a truncated one can be retried. */
const maxBufferedBytes = 1024 * 1024;
/** Maximum size of an event that is buffered until complete, in bytes. */
const maxEventBytes = 256 * 1024;
/** Bytes at the end of each of a stream's last two chunks that are searched for its usage. */
const maxTailBytes = 4096;
/** Interval between the first two progress reports, in milliseconds; it doubles with each report. */
const firstProgressIntervalMs = 250;
/**
 * Maximum interval between two progress reports, in milliseconds. Owners treat a permit as stalled
 * after 10 s without a report. At a fixed interval of 250 ms, a response of 14 s needed 48 reports.
 */
const maxProgressIntervalMs = 4000;

/** Dependencies and settings of a relay. */
export interface RelayOptions {
  readonly clock: Clock;
  readonly sink: ResponseSink;
  /** Whether the target is a model engine. */
  readonly model: boolean;
  /** Whether to record the response for replays. */
  readonly record: boolean;
  /** Called before the head is relayed to the caller. */
  readonly onStart: () => void;
  /** Receives the number of tokens so far and the time to the first one, in milliseconds. */
  readonly onProgress: (tokens: number, firstTokenMs: number) => void;
}

/** Relays the response of one attempt, which spans several connections if its stream is resumed. */
export class Relay {
  private readonly splitter = new SseSplitter(maxEventBytes);
  private readonly startMs: number;
  private recording: ByteBuffer | undefined;
  private nextReportMs = -Infinity;
  private reportIntervalMs = firstProgressIntervalMs;
  private usageTokens: number | undefined;
  private usageCachedTokens: number | undefined;

  /** Time from dispatch to the first token or byte, in milliseconds. */
  firstTokenMs: number | undefined;
  /** Monotonic time of the first token or byte, in milliseconds. */
  firstByteAtMs: number | undefined;
  /** Status of the response, once its head arrived. */
  status: number | undefined;
  /** End-to-end headers of the response. */
  headers: Record<string, string | string[]> = {};

  /**
   * @param options - Dependencies and settings.
   */
  constructor(private readonly options: RelayOptions) {
    this.startMs = options.clock.nowMs();
    if (options.record) this.recording = new ByteBuffer();
  }

  /** Number of complete events received, from which the stream is resumed. */
  get events(): number {
    return this.splitter.events;
  }

  /** Whether what was relayed ends at an event boundary, so that the stream can be resumed. */
  get aligned(): boolean {
    return this.splitter.aligned;
  }

  /** Tokens generated: as stated in the usage, else the number of events, at least 1. */
  get tokens(): number {
    return this.usageTokens ?? Math.max(1, this.splitter.events);
  }

  /** Prompt tokens that the engine read from its cache, if stated in the usage. */
  get cachedTokens(): number | undefined {
    return this.usageCachedTokens;
  }

  /** @returns Recorded body of the response, if it was short enough; it is not kept. */
  takeRecorded(): Buffer | undefined {
    return this.recording?.take();
  }

  /**
   * Relays a response to its end.
   *
   * @param response - Response whose body was not read yet.
   * @throws The error of the body if the target cuts it short; {@link FailureError} of kind
   *   `caller-left` if the caller disconnects.
   */
  async run(response: TargetResponse): Promise<void> {
    this.status = response.status;
    this.headers = responseHeaders(response.headers);
    // If the stream is resumed, this is not its length.
    if (isEventStream(response)) delete this.headers['content-length'];
    try {
      if (isEventStream(response)) await this.relayEvents(response);
      else if (this.options.model) await this.relayBuffered(response);
      else await this.relayBytes(response);
    } finally {
      response.body.destroy();
    }
    this.options.sink.end();
  }

  private async relayEvents(response: TargetResponse): Promise<void> {
    const {sink, model} = this.options;
    this.splitter.discardPartial();
    // The last events contain the usage and may arrive in two chunks.
    let tail: Buffer[] = [];
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      const completeEvents = this.splitter.push(chunk);
      if (completeEvents.length === 0) continue;
      tail = [...tail.slice(-1), completeEvents.subarray(-maxTailBytes)];
      this.start(response);
      this.progress();
      this.record(completeEvents);
      const drained = sink.write(completeEvents);
      if (drained) await drained;
    }
    const {isWithinEvent} = this.splitter;
    const rest = this.splitter.flush();
    const ending = Buffer.concat([...tail, rest]).toString('utf8');
    const isDone = ending.trimEnd().endsWith('[DONE]');
    // Without framing, the end of a response looks like a broken connection.
    if (model && !isFramed(response) && !isDone) {
      throw new Error('the stream ended without its last event');
    }
    if (isWithinEvent && !isDone) {
      throw new Error('the stream ended within an event');
    }
    this.start(response);
    if (rest.length > 0) {
      this.record(rest);
      await sink.write(rest);
    }
    const last = ending.split('\n').findLast(line => line.includes('"usage"'));
    if (last) this.readUsage(last.replace(/^data: ?/, ''));
  }

  private async relayBuffered(response: TargetResponse): Promise<void> {
    const buffered = new ByteBuffer();
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      this.first();
      if (this.options.sink.started) {
        await this.write(chunk);
        continue;
      }
      buffered.append(chunk);
      if (buffered.length > maxBufferedBytes) {
        this.start(response);
        await this.write(buffered.take());
      }
    }
    const body = buffered.take();
    if (this.options.model && !isFramed(response) && !isJson(body)) {
      throw new Error('the response ended before its JSON was complete');
    }
    this.start(response);
    this.readUsage(body.toString('utf8'));
    if (body.length > 0) await this.write(body);
  }

  private async relayBytes(response: TargetResponse): Promise<void> {
    const length = Number(response.headers['content-length'] ?? Infinity);
    // A short response arrives at once; buffering it allows a retry at no cost in latency.
    if (length <= maxRecordedBytes) return this.relayBuffered(response);
    this.start(response);
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      await this.write(chunk);
    }
  }

  private async write(chunk: Buffer): Promise<void> {
    this.record(chunk);
    const drained = this.options.sink.write(chunk);
    if (drained) await drained;
  }

  private start(response: TargetResponse): void {
    this.first();
    const {sink} = this.options;
    if (sink.started) return;
    this.options.onStart();
    sink.head(response.status, this.headers);
  }

  private progress(): void {
    const nowMs = this.options.clock.nowMs();
    if (nowMs < this.nextReportMs) return;
    this.nextReportMs = nowMs + this.reportIntervalMs;
    this.reportIntervalMs = Math.min(
      2 * this.reportIntervalMs,
      maxProgressIntervalMs,
    );
    this.options.onProgress(this.splitter.events, this.firstTokenMs ?? 0);
  }

  private record(chunk: Buffer): void {
    if (!this.recording) return;
    const size = this.recording.length + chunk.length;
    if (size > maxRecordedBytes) this.recording = undefined;
    else this.recording.append(chunk);
  }

  private readUsage(json: string): void {
    if (!this.options.model || json === '') return;
    try {
      const {usage} = JSON.parse(json) as {
        usage?: {
          completion_tokens?: number;
          prompt_tokens_details?: {cached_tokens?: number};
        };
      };
      this.usageTokens = toCount(usage?.completion_tokens);
      this.usageCachedTokens = toCount(
        usage?.prompt_tokens_details?.cached_tokens,
      );
    } catch {
      // A response that is not JSON has no usage; it is relayed unchanged.
    }
  }

  private first(): void {
    this.firstByteAtMs ??= this.options.clock.nowMs();
    this.firstTokenMs ??= this.firstByteAtMs - this.startMs;
  }
}

function toCount(value: unknown): number | undefined {
  return typeof value === 'number' && value >= 0 ? value : undefined;
}

function isJson(body: Buffer): boolean {
  try {
    JSON.parse(body.toString('utf8'));
    return true;
  } catch {
    return false;
  }
}

function isEventStream(response: TargetResponse): boolean {
  return String(response.headers['content-type'] ?? '').startsWith(
    'text/event-stream',
  );
}

function isFramed({headers}: TargetResponse): boolean {
  return (
    headers['content-length'] !== undefined ||
    /chunked/i.test(headers['transfer-encoding'] ?? '')
  );
}
