import {FailureError} from '../../process/errors/catalogue.js';
import {LogClient, type LogPage, type LogRecord} from './log-client.js';
import {
  isNonNegativeInteger,
  PlatformHttp,
  type PlatformResponse,
  type PlatformCall,
} from './platform-http.js';

/** Default timeout of a call to the log, in milliseconds. */
const callTimeoutMs = 3000;
/** Retry delay after a rate-limited append if the log states none, in milliseconds. */
const defaultRetryAfterMs = 100;

/** Client of the log service over HTTP with JSON bodies. */
export class HttpLogClient extends LogClient {
  private readonly appends: PlatformHttp;
  /** Unlimited connections: a long-polling read occupies one and must not delay reads or appends. */
  private readonly reads: PlatformHttp;

  /**
   * @param baseUrl - Base URL of the log service.
   * @param timeoutMs - Timeout of a call, in milliseconds; the timeout of a read is longer by its
   *   `waitMs`.
   */
  constructor(
    baseUrl: string,
    private readonly timeoutMs = callTimeoutMs,
  ) {
    super();
    this.appends = new PlatformHttp(baseUrl);
    this.reads = new PlatformHttp(baseUrl, null);
  }

  override async append(stream: string, data: unknown): Promise<number> {
    const {status, body} = await this.call(stream, {
      method: 'POST',
      path: `/streams/${encodeURIComponent(stream)}/records`,
      body: data,
      timeoutMs: this.timeoutMs,
    });
    if (status === 429) {
      const stated = body['retryAfterMs'];
      const retryAfterMs = isNonNegativeInteger(stated)
        ? stated
        : defaultRetryAfterMs;
      throw new FailureError({kind: 'log-rate-limited', stream, retryAfterMs});
    }
    if (status !== 200) throw unavailable(stream, `HTTP status ${status}`);
    const offset = body['offset'];
    if (!isNonNegativeInteger(offset))
      throw unavailable(stream, 'response has no offset');
    return offset;
  }

  override async read(
    stream: string,
    from: number,
    options: {limit?: number; waitMs?: number; signal?: AbortSignal} = {},
  ): Promise<LogPage> {
    const {limit = 500, waitMs = 0, signal} = options;
    const {status, body} = await this.call(stream, {
      method: 'GET',
      path: `/streams/${encodeURIComponent(stream)}/records?from=${from}&limit=${limit}&waitMs=${waitMs}`,
      timeoutMs: this.timeoutMs + waitMs,
      signal,
    });
    if (status === 410 && isNonNegativeInteger(body['first'])) {
      const first = body['first'];
      throw new FailureError({kind: 'log-truncated', stream, from, first});
    }
    if (status !== 200) throw unavailable(stream, `HTTP status ${status}`);
    if (!isPage(body, from)) throw unavailable(stream, 'response is malformed');
    return body;
  }

  /** Closes the connections to the log. */
  async close(): Promise<void> {
    await Promise.all([this.appends.close(), this.reads.close()]);
  }

  private async call(
    stream: string,
    call: PlatformCall,
  ): Promise<PlatformResponse> {
    try {
      const http = call.method === 'POST' ? this.appends : this.reads;
      return await http.call(call);
    } catch (err) {
      throw unavailable(stream, (err as Error).message, err);
    }
  }
}

/** Offsets must be consecutive from `from` on; a gap would hide records from the reader. */
function isPage(body: unknown, from: number): body is LogPage {
  const {records, first, next} = body as Partial<LogPage>;
  return (
    Array.isArray(records) &&
    isNonNegativeInteger(first) &&
    isNonNegativeInteger(next) &&
    (records as Partial<LogRecord>[]).every(
      (record, i) => record?.offset === from + i && 'data' in record,
    )
  );
}

function unavailable(
  stream: string,
  reason: string,
  cause?: unknown,
): FailureError {
  return new FailureError({kind: 'log-unavailable', stream, reason}, {cause});
}
