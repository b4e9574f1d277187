import {Pool} from 'undici';
import {FailureError} from '../../process/errors/catalogue.js';
import {LogClient, type LogPage} from './log-client.js';

/** Time after which a call to the log is given up, in milliseconds. */
const callTimeoutMs = 3000;

/** Log service over HTTP with JSON bodies. */
export class HttpLogClient extends LogClient {
  private readonly pool: Pool;

  /**
   * @param baseUrl - Base URL of the log service.
   */
  constructor(baseUrl: string) {
    super();
    this.pool = new Pool(new URL(baseUrl).origin, {connections: 8});
  }

  override async append(stream: string, data: unknown): Promise<number> {
    const {status, body} = await this.call(stream, {
      method: 'POST',
      path: `/streams/${encodeURIComponent(stream)}/records`,
      body: JSON.stringify(data),
      headers: {'content-type': 'application/json'},
      timeoutMs: callTimeoutMs,
    });
    if (status === 429) {
      const retryAfterMs = Number(body['retryAfterMs'] ?? 100);
      throw new FailureError({kind: 'log-rate-limited', stream, retryAfterMs});
    }
    if (status !== 200) throw unavailable(stream, `HTTP status ${status}`);
    return body['offset'] as number;
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
      timeoutMs: callTimeoutMs + waitMs,
      signal,
    });
    if (status === 410) {
      const first = body['first'] as number;
      throw new FailureError({kind: 'log-truncated', stream, from, first});
    }
    if (status !== 200) throw unavailable(stream, `HTTP status ${status}`);
    return body as unknown as LogPage;
  }

  /** Closes the connections to the log. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async call(
    stream: string,
    req: {
      method: 'GET' | 'POST';
      path: string;
      body?: string;
      headers?: Record<string, string>;
      timeoutMs: number;
      signal?: AbortSignal;
    },
  ): Promise<{status: number; body: Record<string, unknown>}> {
    const {timeoutMs, signal, ...options} = req;
    const timeout = AbortSignal.timeout(timeoutMs);
    try {
      const res = await this.pool.request({
        ...options,
        signal: signal ? AbortSignal.any([signal, timeout]) : timeout,
      });
      const body = (await res.body.json()) as Record<string, unknown>;
      return {status: res.statusCode, body};
    } catch (err) {
      throw unavailable(stream, (err as Error).message, err);
    }
  }
}

function unavailable(
  stream: string,
  reason: string,
  cause?: unknown,
): FailureError {
  return new FailureError({kind: 'log-unavailable', stream, reason}, {cause});
}
