import type {Clock} from '../process/clock.js';
import type {TargetResponse} from '../connection/target/target-client.js';
import {responseHeaders} from '../connection/caller/headers.js';
import type {ResponseSink} from './response-sink.js';
import {maxRecordedBytes} from './claim-gate.js';
import {SseSplitter} from './sse-splitter.js';

/** Whole answers up to this size are held until complete, so that a broken one can be retried. */
const maxHeldBytes = 1024 * 1024;
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
  private copy: Buffer[] | undefined;
  private copyBytes = 0;
  private nextReportMs = -Infinity;
  private reportIntervalMs = firstProgressIntervalMs;
  private tokensInUsage: number | undefined;
  private cachedInUsage: number | undefined;

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
    if (options.record) this.copy = [];
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
    return this.tokensInUsage ?? Math.max(1, this.splitter.events);
  }

  /** Prompt tokens that the engine took from its cache, if it says so. */
  get cachedTokens(): number | undefined {
    return this.cachedInUsage;
  }

  /** Body of the answer, if it was short enough to record. */
  get recorded(): Buffer | undefined {
    return this.copy && Buffer.concat(this.copy);
  }

  /**
   * Relays an answer to its end.
   *
   * @param answer - Answer whose body was not read yet.
   * @throws The error of the body if the target breaks off; {@link FailureError} of kind
   *   `caller-left` if the caller does.
   */
  async run(answer: TargetResponse): Promise<void> {
    this.status = answer.status;
    this.headers = responseHeaders(answer.headers);
    try {
      if (isEventStream(answer)) await this.relayEvents(answer);
      else if (this.options.model) await this.relayHeld(answer);
      else await this.relayBytes(answer);
    } finally {
      answer.body.destroy();
    }
    this.options.sink.end();
  }

  private async relayEvents(answer: TargetResponse): Promise<void> {
    const {sink, model} = this.options;
    this.splitter.discardPartial();
    // The last events state the usage and may arrive in two parts.
    let tail: Buffer[] = [];
    for await (const chunk of answer.body as AsyncIterable<Buffer>) {
      const whole = this.splitter.push(chunk);
      if (whole.length === 0) continue;
      tail = [...tail.slice(-1), whole.subarray(-maxTailBytes)];
      this.start(answer);
      this.progress();
      this.record(whole);
      const drained = sink.write(whole);
      if (drained) await drained;
    }
    const rest = this.splitter.flush();
    const ended = Buffer.concat([...tail, rest]).toString('utf8');
    // The end of an answer that is delimited by the connection's end looks like a broken connection.
    if (model && !isFramed(answer) && !ended.trimEnd().endsWith('[DONE]')) {
      throw new Error('the stream ended without its last event');
    }
    this.start(answer);
    if (rest.length > 0) {
      this.record(rest);
      await sink.write(rest);
    }
    const last = ended.split('\n').findLast(line => line.includes('"usage"'));
    if (last) this.readUsage(last.replace(/^data: ?/, ''));
  }

  private async relayHeld(answer: TargetResponse): Promise<void> {
    const held: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of answer.body as AsyncIterable<Buffer>) {
      this.first();
      if (this.options.sink.started) {
        await this.write(chunk);
        continue;
      }
      held.push(chunk);
      bytes += chunk.length;
      if (bytes > maxHeldBytes) {
        this.start(answer);
        for (const part of held.splice(0)) await this.write(part);
      }
    }
    const whole = Buffer.concat(held);
    if (this.options.model && !isFramed(answer) && !isJson(whole)) {
      throw new Error('the answer ended before its JSON did');
    }
    this.start(answer);
    this.readUsage(whole.toString('utf8'));
    if (whole.length > 0) await this.write(whole);
  }

  private async relayBytes(answer: TargetResponse): Promise<void> {
    const length = Number(answer.headers['content-length'] ?? Infinity);
    // The whole of a short answer arrives at once; holding it allows a retry at no cost in latency.
    if (length <= maxRecordedBytes) return this.relayHeld(answer);
    this.start(answer);
    for await (const chunk of answer.body as AsyncIterable<Buffer>) {
      await this.write(chunk);
    }
  }

  private async write(chunk: Buffer): Promise<void> {
    this.record(chunk);
    const drained = this.options.sink.write(chunk);
    if (drained) await drained;
  }

  private start(answer: TargetResponse): void {
    this.first();
    const {sink} = this.options;
    if (sink.started) return;
    this.options.onStart();
    sink.head(answer.status, this.headers);
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
    if (!this.copy) return;
    this.copyBytes += chunk.length;
    if (this.copyBytes > maxRecordedBytes) this.copy = undefined;
    else this.copy.push(chunk);
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
      this.tokensInUsage = toCount(usage?.completion_tokens);
      this.cachedInUsage = toCount(usage?.prompt_tokens_details?.cached_tokens);
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

function isEventStream(answer: TargetResponse): boolean {
  return String(answer.headers['content-type'] ?? '').startsWith(
    'text/event-stream',
  );
}

function isFramed({headers}: TargetResponse): boolean {
  return (
    headers['content-length'] !== undefined ||
    /chunked/i.test(headers['transfer-encoding'] ?? '')
  );
}
