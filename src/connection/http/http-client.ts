import Pool from 'undici/lib/dispatcher/pool.js';
import type {Endpoint} from '../../process/gateway-settings.js';

/** A short call whose answer is read as a whole. */
export interface HttpCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: Buffer;
  readonly contentType?: string;
  /** Time after which the call is given up and its connection closed, in milliseconds. */
  readonly timeoutMs: number;
}

/** Why a call has no answer. */
export type CallFailure =
  /** Nothing arrived in time; the call may have been executed. */
  | {readonly kind: 'silent'; readonly timeoutMs: number}
  /** No connection could be opened, or it broke. */
  | {readonly kind: 'broken'; readonly reason: string};

/** Carries a {@link CallFailure}. */
export class CallError extends Error {
  /** @param failure - What went wrong. */
  constructor(readonly failure: CallFailure) {
    super(
      failure.kind === 'silent'
        ? `no answer within ${failure.timeoutMs} ms`
        : failure.reason,
    );
  }
}

/** A whole answer. */
export interface CallResponse {
  readonly status: number;
  readonly body: Buffer;
}

/** Time to open a connection, in milliseconds; links have a delay of a few milliseconds. */
const connectTimeoutMs = 1000;

/**
 * Makes short calls over kept connections. A call that is not answered in time closes its
 * connection, so that one which went silent is not used again.
 */
export class HttpClient {
  private readonly pool: Pool;

  /**
   * @param endpoint - Server to call.
   * @param connections - Greatest number of connections, which is that of concurrent calls.
   */
  constructor(endpoint: Endpoint, connections: number) {
    this.pool = new Pool(`http://${endpoint.address}:${endpoint.port}`, {
      connections,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: {timeout: connectTimeoutMs},
    });
  }

  /**
   * Makes a call.
   *
   * @param call - What to send.
   * @returns The answer, whatever its status.
   * @throws {@link CallError}
   */
  call(call: HttpCall): Promise<CallResponse> {
    return new Promise((resolve, reject) => {
      const chunks: Buffer[] = [];
      let status = 0;
      let abort: ((err: Error) => void) | undefined;
      let done = false;
      const finish = (settle: () => void) => {
        if (done) return;
        done = true;
        clearTimeout(timer);
        settle();
      };
      const fail = (failure: CallFailure) =>
        finish(() => reject(new CallError(failure)));
      const timer = setTimeout(() => {
        const {timeoutMs} = call;
        fail({kind: 'silent', timeoutMs});
        abort?.(new CallError({kind: 'silent', timeoutMs}));
      }, call.timeoutMs);
      this.pool.dispatch(
        {
          method: call.method,
          path: call.path,
          body: call.body ?? null,
          headers: call.contentType
            ? ['content-type', call.contentType]
            : undefined,
        },
        {
          onRequestStart(controller) {
            if (done) controller.abort(new Error('given up'));
            else abort = err => controller.abort(err);
          },
          onResponseStart(_controller, statusCode) {
            status = statusCode;
          },
          onResponseData(_controller, chunk) {
            chunks.push(chunk);
          },
          onResponseEnd() {
            finish(() => resolve({status, body: Buffer.concat(chunks)}));
          },
          onResponseError(_controller, err) {
            fail({kind: 'broken', reason: err.message});
          },
        },
      );
    });
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }
}
