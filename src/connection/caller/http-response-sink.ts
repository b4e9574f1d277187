import type {ServerResponse} from 'node:http';
import {FailureError} from '../../process/errors/catalogue.js';
import {
  ResponseSink,
  type ResponseHeaders,
  type AbortReason,
} from '../../request/response-sink.js';

/** Time in which the last event of a broken stream must be taken by the caller, in milliseconds. */
const breakFlushMs = 1000;

/** Answer over the caller's HTTP connection. */
export class HttpResponseSink extends ResponseSink {
  private streamed = false;

  /**
   * @param res - Response whose head was not sent yet.
   * @param outlivesCaller - Whether the answer is still wanted, for a replay, after the caller left.
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
    if (this.hasLeft()) return;
    this.streamed = String(headers['content-type'] ?? '').startsWith(
      'text/event-stream',
    );
    this.res.writeHead(status, headers);
    if (this.streamed) this.res.flushHeaders();
  }

  override write(chunk: Buffer): Promise<void> | undefined {
    if (this.hasLeft()) return undefined;
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
      // These answers end with the connection; only a reset tells a broken one from a whole one.
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
    // Without the terminating chunk, a caller that does not read the event still sees a broken answer.
    const timer = setTimeout(() => this.res.destroy(), breakFlushMs);
    this.res.once('close', () => clearTimeout(timer));
    this.res.write(`data: ${JSON.stringify({error})}\n\n`, () =>
      this.res.destroy(),
    );
  }

  private hasLeft(): boolean {
    if (!this.res.destroyed) return false;
    if (this.outlivesCaller) return true;
    throw new FailureError({kind: 'caller-left', execution: 'unknown'});
  }
}
