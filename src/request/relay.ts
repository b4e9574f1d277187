import type {Clock} from '../process/clock.js';
import type {TargetResponse} from '../connection/target/target-client.js';
import {responseHeaders} from '../connection/caller/headers.js';
import type {ResponseSink} from './response-sink.js';
import {maxRecordedBytes} from './claim-gate.js';
import {SseSplitter} from './sse-splitter.js';

/** Whole answers up to this size are held until complete, so that a broken one can be retried. */
const maxBufferedBytes = 1024 * 1024;
/** Greatest event that is held back until complete, in bytes. */
const maxEventBytes = 256 * 1024;
/** End of a stream in which its usage is looked for, in bytes. */
const maxTailBytes = 4096;
/** Time between the first two progress reports, in milliseconds; it doubles with each report. */
const firstProgressIntervalMs = 250;
/**
 * Greatest time between two progress reports, in milliseconds. Owners take a permit without a report
 * for 10 s as stalled. An answer of 14 s took 48 reports at a fixed 250 ms.
 */
const maxProgressIntervalMs = 4000;

/** What the relay of one request needs to know. */
export interface RelayOptions {
  readonly clock: Clock;
  readonly sink: ResponseSink;
  /** Whether answers come from a model engine. */
  readonly model: boolean;
  /** Whether to keep a copy of the answer for replays. */
  readonly record: boolean;
  /** Called before the first byte is relayed to the caller. */
  readonly onStart: () => void;
  /** Receives the number of tokens so far and the time to the first one, in milliseconds. */
  readonly onProgress: (tokens: number, firstTokenMs: number) => void;
}

/** Relays the answer of one attempt, over several connections if the stream is resumed. */
export class Relay {
  private readonly splitter = new SseSplitter(maxEventBytes);
  private readonly startMs: number;
  private recording: Buffer[] | undefined;
  private recordingBytes = 0;
  private nextReportMs = -Infinity;
  private reportIntervalMs = firstProgressIntervalMs;
  private usageTokens: number | undefined;
  private usageCachedTokens: number | undefined;

  /** Time from dispatch to the first token or byte, in milliseconds. */
  firstTokenMs: number | undefined;
  /** Time of the first token or byte on the process's clock, in milliseconds. */
  firstByteAtMs: number | undefined;
  /** Status of the answer, once its head arrived. */
  status: number | undefined;
  /** End-to-end headers of the answer. */
  headers: Record<string, string | string[]> = {};

  /**
   * @param options - Sink and other parts.
   */
  constructor(private readonly options: RelayOptions) {
    this.startMs = options.clock.nowMs();
    if (options.record) this.recording = [];
  }

  /** Events received, for a resumption. */
  get events(): number {
    return this.splitter.events;
  }

  /** Whether the next whole event can follow what was relayed. */
  get aligned(): boolean {
    return this.splitter.aligned;
  }

  /** Tokens generated so far, or 1 for answers that do not say. */
  get tokens(): number {
    return this.usageTokens ?? Math.max(1, this.splitter.events);
  }

  /** Prompt tokens that the engine took from its cache, if it says so. */
  get cachedTokens(): number | undefined {
    return this.usageCachedTokens;
  }

  /** Body of the answer, if it was short enough to record. */
  get recorded(): Buffer | undefined {
    return this.recording && Buffer.concat(this.recording);
  }

  /**
   * Relays an answer to its end.
   *
   * @param response - Answer whose body was not read yet.
   * @throws The error of the body if the target breaks off; {@link FailureError} of kind
   *   `caller-left` if the caller does.
   */
  async run(response: TargetResponse): Promise<void> {
    this.status = response.status;
    this.headers = responseHeaders(response.headers);
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
    // The last events state the usage and may arrive in two parts.
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
    const rest = this.splitter.flush();
    const ending = Buffer.concat([...tail, rest]).toString('utf8');
    // The end of an answer that is delimited by the connection's end looks like a broken connection.
    if (model && !isFramed(response) && !ending.trimEnd().endsWith('[DONE]')) {
      throw new Error('the stream ended without its last event');
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
    const buffered: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      this.first();
      if (this.options.sink.started) {
        await this.write(chunk);
        continue;
      }
      buffered.push(chunk);
      bytes += chunk.length;
      if (bytes > maxBufferedBytes) {
        this.start(response);
        for (const part of buffered.splice(0)) await this.write(part);
      }
    }
    const body = Buffer.concat(buffered);
    if (this.options.model && !isFramed(response) && !isJson(body)) {
      throw new Error('the answer ended before its JSON did');
    }
    this.start(response);
    this.readUsage(body.toString('utf8'));
    if (body.length > 0) await this.write(body);
  }

  private async relayBytes(response: TargetResponse): Promise<void> {
    const length = Number(response.headers['content-length'] ?? Infinity);
    // The whole of a short answer arrives at once; holding it allows a retry at no cost in latency.
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
    this.recordingBytes += chunk.length;
    if (this.recordingBytes > maxRecordedBytes) this.recording = undefined;
    else this.recording.push(chunk);
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
      // An answer that is not JSON states no usage; it is relayed as it is.
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
