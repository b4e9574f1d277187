import Pool from 'undici/lib/dispatcher/pool.js';
import {ByteBuffer} from '../../process/byte-buffer.js';
import type {Endpoint} from '../../process/gateway-settings.js';
import {inputRead} from '../../process/input-read.js';

/** A short call whose response is buffered completely. */
export interface HttpCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: Buffer;
  readonly contentType?: string;
  /** Time after which the call is aborted and its connection closed, in milliseconds. */
  readonly timeoutMs: number;
}

/** Why a call has no response. */
export type CallFailure =
  /** The response did not arrive within the timeout; the call may have been executed. */
  | {readonly kind: 'silent'; readonly timeoutMs: number}
  /** No connection could be opened, or it was lost. */
  | {readonly kind: 'broken'; readonly reason: string};

/** Error of a failed call, with its {@link CallFailure}. */
export class CallError extends Error {
  /** @param failure - What went wrong. */
  constructor(readonly failure: CallFailure) {
    super(
      failure.kind === 'silent'
        ? `no response within ${failure.timeoutMs} ms`
        : failure.reason,
    );
  }
}

/** A complete response. */
export interface CallResponse {
  readonly status: number;
  /** Headers by lower-case name. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
}

/** Timeout for opening a connection, in milliseconds; the network delay is a few milliseconds. */
const connectTimeoutMs = 1000;

/**
 * Makes short calls over keep-alive connections. A call that times out closes its connection, so that
 * a connection that stopped responding is not reused.
 */
export class HttpClient {
  private readonly pool: Pool;

  /**
   * @param endpoint - Server to call.
   * @param connections - Maximum number of connections and so of concurrent calls; more calls wait.
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
   * @param call - Request to send.
   * @returns The response, whatever its status.
   * @throws {@link CallError} if no complete response arrives.
   */
  call(call: HttpCall): Promise<CallResponse> {
    return new Promise((resolve, reject) => {
      const body = new ByteBuffer();
      let status = 0;
      let headers: CallResponse['headers'] = {};
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
      const onTimeout = () => {
        if (done) return;
        const {timeoutMs} = call;
        fail({kind: 'silent', timeoutMs});
        abort?.(new CallError({kind: 'silent', timeoutMs}));
      };
      const timer = setTimeout(
        () => void inputRead().then(onTimeout),
        call.timeoutMs,
      );
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
            if (done) controller.abort(new Error('aborted after a timeout'));
            else abort = err => controller.abort(err);
          },
          onResponseStart(_controller, statusCode, received) {
            status = statusCode;
            headers = received;
          },
          onResponseData(_controller, chunk) {
            body.append(chunk);
          },
          onResponseEnd() {
            finish(() => resolve({status, headers, body: body.take()}));
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
