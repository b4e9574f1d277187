import type {ServerResponse} from 'node:http';
import {FailureError} from '../../process/errors/catalogue.js';
import {
  ResponseSink,
  type ResponseHeaders,
  type AbortReason,
} from '../../request/response-sink.js';

/** Timeout for delivering the error event of an aborted stream, in milliseconds. */
const breakFlushMs = 1000;

/** Sends a response over the caller's HTTP connection. */
export class HttpResponseSink extends ResponseSink {
  private streamed = false;

  /**
   * @param res - Response whose head was not sent yet.
   * @param outlivesCaller - Whether the response is still needed, for a replay, after the caller
   *   disconnects.
   */
  constructor(
    private readonly res: ServerResponse,
    private readonly outlivesCaller = false,
  ) {
    super();
  }

  override get started(): boolean {
    return this.res.headersSent;
  }

  override head(status: number, headers: ResponseHeaders): void {
    if (this.hasDisconnected()) return;
    this.streamed = String(headers['content-type'] ?? '').startsWith(
      'text/event-stream',
    );
    this.res.writeHead(status, headers);
    if (this.streamed) this.res.flushHeaders();
  }

  override write(chunk: Buffer): Promise<void> | undefined {
    if (this.hasDisconnected()) return undefined;
    if (this.res.write(chunk)) return undefined;
    return new Promise((resolve, reject) => {
      const onDrain = () => {
        this.res.off('close', onClose);
        resolve();
      };
      const onClose = () => {
        this.res.off('drain', onDrain);
        if (this.outlivesCaller) resolve();
        else
          reject(new FailureError({kind: 'caller-left', execution: 'unknown'}));
      };
      this.res.once('drain', onDrain);
      this.res.once('close', onClose);
    });
  }

  override end(): void {
    this.res.end();
  }

  override abort(reason: AbortReason): void {
    if (this.res.destroyed) return;
    if (this.res.req.httpVersion === '1.0') {
      // HTTP/1.0 responses end with the connection; only a reset marks one as incomplete.
      this.res.socket?.resetAndDestroy();
      return;
    }
    if (!this.streamed) {
      this.res.destroy();
      return;
    }
    const error = {
      type: `urn:guavaseam:break:${reason}`,
      reason,
      message: 'the answer broke off',
      execution: 'unknown',
    };
    // The missing final chunk shows callers that ignore the event that the response is incomplete.
    const timer = setTimeout(() => this.res.destroy(), breakFlushMs);
    this.res.once('close', () => clearTimeout(timer));
    this.res.write(`data: ${JSON.stringify({error})}\n\n`, () =>
      this.res.destroy(),
    );
  }

  private hasDisconnected(): boolean {
    if (!this.res.destroyed) return false;
    if (this.outlivesCaller) return true;
    throw new FailureError({kind: 'caller-left', execution: 'unknown'});
  }
}
