import {Pool} from 'undici';
import {ByteBuffer} from '../../process/byte-buffer.js';
import {inputRead} from '../../process/input-read.js';

/** Maximum size of a response from a platform service, in bytes. */
const maxResponseBytes = 16 * 1024 * 1024;

/** One call to a platform service. */
export interface PlatformCall {
  readonly method: 'GET' | 'POST';
  /** Path and query. */
  readonly path: string;
  /** Request body: a JSON value. */
  readonly body?: unknown;
  /** Timeout of the call including its response body, in milliseconds. */
  readonly timeoutMs: number;
  /** Aborts the call. */
  readonly signal?: AbortSignal;
}

/** Response of a platform service. */
export interface PlatformResponse {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Calls one platform service with JSON bodies, within limits on time and response size. */
export class PlatformHttp {
  private readonly pool: Pool;

  /**
   * @param baseUrl - Base URL of the service; its path is prepended to the path of each call.
   * @param connections - Maximum number of connections, `null` for no limit.
   */
  constructor(
    private readonly baseUrl: string,
    connections: number | null = 8,
  ) {
    this.pool = new Pool(new URL(baseUrl).origin, {connections});
  }

  /**
   * Makes one call. A failed call is never retried here, because the service may have executed it.
   *
   * @param call - Method, path, body and timeout of the call.
   * @returns Status and parsed body of the response.
   * @throws Error if the call timed out or was aborted, the connection failed, or the response is
   *   too large or not a JSON object.
   */
  async call(call: PlatformCall): Promise<PlatformResponse> {
    const timeout = new AbortController();
    const timer = setTimeout(
      () => void inputRead().then(() => timeout.abort(timeoutError())),
      call.timeoutMs,
    );
    try {
      return await this.send(call, timeout.signal);
    } finally {
      clearTimeout(timer);
    }
  }

  /** Closes the connections to the service. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async send(
    call: PlatformCall,
    timeout: AbortSignal,
  ): Promise<PlatformResponse> {
    const prefix = new URL(this.baseUrl).pathname.replace(/\/$/, '');
    const res = await this.pool.request({
      method: call.method,
      path: prefix + call.path,
      body: call.body === undefined ? null : JSON.stringify(call.body),
      headers: {'content-type': 'application/json'},
      signal: call.signal ? AbortSignal.any([call.signal, timeout]) : timeout,
    });
    // Fails early on the declared length; reading up to the limit could exceed the call's timeout.
    if (Number(res.headers['content-length'] ?? 0) > maxResponseBytes) {
      res.body.destroy();
      throw new Error(`response exceeds ${maxResponseBytes} bytes`);
    }
    const received = new ByteBuffer();
    for await (const chunk of res.body as AsyncIterable<Buffer>) {
      // Throwing out of the loop destroys the body and closes the connection.
      if (received.length + chunk.length > maxResponseBytes) {
        throw new Error(`response exceeds ${maxResponseBytes} bytes`);
      }
      received.append(chunk);
    }
    const body: unknown = JSON.parse(received.take().toString('utf8'));
    if (typeof body !== 'object' || body === null || Array.isArray(body)) {
      throw new Error('response is not a JSON object');
    }
    return {
      status: res.statusCode,
      body: body as Record<string, unknown>,
    };
  }
}

function timeoutError(): DOMException {
  return new DOMException('the call timed out', 'TimeoutError');
}

/**
 * Checks for a non-negative integer, such as a log offset or a fencing number.
 *
 * @param value - Value to check.
 * @returns Whether the value is a safe integer of at least 0.
 */
export function isNonNegativeInteger(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
