import {Pool} from 'undici';

/** Greatest answer that is read from a service of the platform, in bytes. */
const maxAnswerBytes = 16 * 1024 * 1024;

/** One call to a service of the platform. */
export interface PlatformCall {
  readonly method: 'GET' | 'POST';
  /** Path and query. */
  readonly path: string;
  /** Body, JSON. */
  readonly body?: unknown;
  /** Time after which the call is given up, in milliseconds. */
  readonly timeoutMs: number;
  /** Ends the call. */
  readonly signal?: AbortSignal;
}

/** Answer of a service of the platform. */
export interface PlatformResponse {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Calls one service of the platform with JSON bodies, bounded in time and size. */
export class PlatformHttp {
  private readonly pool: Pool;

  /**
   * @param baseUrl - Base URL of the service; a path in it precedes the path of each call.
   * @param connections - Greatest number of connections, `null` for no limit.
   */
  constructor(
    private readonly baseUrl: string,
    connections: number | null = 8,
  ) {
    this.pool = new Pool(new URL(baseUrl).origin, {connections});
  }

  /**
   * Makes one call; it is never repeated here, because the service may have carried it out.
   *
   * @param call - What to call.
   * @returns Status and body.
   * @throws Error if the call timed out or was aborted, the connection broke, or the answer is too
   *   long or not a JSON object.
   */
  async call(call: PlatformCall): Promise<PlatformResponse> {
    const timeout = AbortSignal.timeout(call.timeoutMs);
    const prefix = new URL(this.baseUrl).pathname.replace(/\/$/, '');
    const res = await this.pool.request({
      method: call.method,
      path: prefix + call.path,
      body: call.body === undefined ? null : JSON.stringify(call.body),
      headers: {'content-type': 'application/json'},
      signal: call.signal ? AbortSignal.any([call.signal, timeout]) : timeout,
    });
    // A stated length is enough to give up; reading up to the bound could exceed the call's timeout.
    if (Number(res.headers['content-length'] ?? 0) > maxAnswerBytes) {
      res.body.destroy();
      throw new Error(`answer exceeds ${maxAnswerBytes} bytes`);
    }
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of res.body as AsyncIterable<Buffer>) {
      size += chunk.length;
      // Leaving the loop destroys the body and with it the connection.
      if (size > maxAnswerBytes) {
        throw new Error(`answer exceeds ${maxAnswerBytes} bytes`);
      }
      chunks.push(chunk);
    }
    const body: unknown = JSON.parse(Buffer.concat(chunks).toString('utf8'));
    if (typeof body !== 'object' || body === null || Array.isArray(body)) {
      throw new Error('answer is not a JSON object');
    }
    return {
      status: res.statusCode,
      body: body as Record<string, unknown>,
    };
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }
}

/**
 * Tells whether a value is an offset of a log, a fencing number or the like.
 *
 * @param value - Value to check.
 * @returns Whether it is an integer of at least 0.
 */
export function isNonNegativeInteger(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
