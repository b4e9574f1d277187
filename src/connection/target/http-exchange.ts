import type {IncomingHttpHeaders} from 'node:http';
import {Readable} from 'node:stream';
import type {Dispatcher} from 'undici';
import {FailureError} from '../../process/errors/catalogue.js';
import type {TargetResponse} from './target-client.js';

/** Maximum number of response bytes that are buffered for a slow caller. */
const readAheadBytes = 64 * 1024;

/** Response body; reading from the target's connection is paused while the buffer is full. */
class AnswerBody extends Readable {
  constructor(private readonly controller: Dispatcher.DispatchController) {
    super({highWaterMark: readAheadBytes});
  }

  override _read(): void {
    if (this.controller.paused) this.controller.resume();
  }

  override _destroy(
    err: Error | null,
    callback: (err?: Error | null) => void,
  ): void {
    if (!this.readableEnded && !this.controller.aborted) {
      this.controller.abort(err ?? new Error('response was abandoned'));
    }
    callback(err);
  }
}

/** Range of the status codes of HTTP. */
const minStatus = 100;
const maxStatus = 599;

/**
 * One request and its response on a connection of an undici dispatcher. undici calls
 * `onRequestStart` immediately before it writes the first byte, so a failure before that call means
 * that the target cannot have started the request.
 */
export class HttpExchange implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;
  private body: AnswerBody | undefined;
  private received = 0;
  private resolve!: (response: TargetResponse) => void;
  private reject!: (err: Error) => void;
  private readonly onAbort = () => this.abort();

  /** Resolves with the response head, or rejects with the failure that occurred before it. */
  readonly answer = new Promise<TargetResponse>((resolve, reject) => {
    this.resolve = resolve;
    this.reject = reject;
  });

  /**
   * @param target - Name of the target, used in errors.
   * @param signal - Aborts the request.
   */
  constructor(
    private readonly target: string,
    private readonly signal: AbortSignal,
  ) {
    signal.addEventListener('abort', this.onAbort, {once: true});
  }

  /**
   * Dispatches the request, unless it is already aborted.
   *
   * @param dispatcher - Connection pool of the target.
   * @param options - Request in the form of undici.
   * @returns The response head with the body as a stream.
   * @throws {@link FailureError} of kind `target-unreachable` or `target-stream-broken`.
   */
  run(
    dispatcher: Dispatcher,
    options: Dispatcher.DispatchOptions,
  ): Promise<TargetResponse> {
    if (this.signal.aborted) {
      this.fail(new Error('aborted'));
    } else {
      dispatcher.dispatch(options, this);
    }
    return this.answer;
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.controller || this.signal.aborted) {
      // undici may dispatch a request again on a second connection; it must not run twice.
      controller.abort(new Error('aborted'));
      return;
    }
    this.controller = controller;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < minStatus || status > maxStatus) {
      controller.abort(new Error(`status ${status}`));
      return;
    }
    if (status < 200) return;
    this.body = new AnswerBody(controller);
    // Readers get the failure through iteration; without a listener, the 'error' event would end
    // the process.
    this.body.on('error', () => {});
    this.resolve({status, headers, body: this.body});
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.received += chunk.length;
    if (this.body?.push(chunk) === false) controller.pause();
  }

  onResponseEnd(): void {
    this.signal.removeEventListener('abort', this.onAbort);
    this.body?.push(null);
  }

  onResponseError(
    _controller: Dispatcher.DispatchController | undefined,
    err: Error,
  ): void {
    this.fail(err);
  }

  private abort(): void {
    const err = new Error('aborted');
    if (this.controller) this.controller.abort(err);
    else this.fail(err);
  }

  private fail(err: NodeJS.ErrnoException): void {
    this.signal.removeEventListener('abort', this.onAbort);
    const target = this.target;
    const failure = this.controller
      ? new FailureError(
          {kind: 'target-stream-broken', target, bytes: this.received},
          {cause: err},
        )
      : new FailureError(
          {
            kind: 'target-unreachable',
            target,
            reason: err.code ?? err.message,
          },
          {cause: err},
        );
    this.reject(failure);
    if (this.body) this.body.destroy(failure);
  }
}
