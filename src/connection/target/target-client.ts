import type {IncomingHttpHeaders} from 'node:http';
import type {Readable} from 'node:stream';

/** Request as it is sent to a target. */
export interface TargetRequest {
  /** Id of the attempt; engines resume and cancel by it. */
  readonly attemptId: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: Record<string, string | string[]>;
  readonly body: Buffer;
  /** Whether the request may be run again. */
  readonly idempotent: boolean;
}

/** Head of a target's answer; the body follows as a stream. */
export interface TargetResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Fails if the target breaks off. Must be read to its end or destroyed. */
  readonly body: Readable;
}

/** Sends requests to one target. */
export abstract class TargetClient {
  /** Whether the target can resume a stream by request id. */
  abstract readonly resumable: boolean;

  /**
   * Sends a request.
   *
   * @param req - Request to send.
   * @param signal - Aborted to give the request up.
   * @returns The head of the answer, and its body as a stream that fails if the target breaks off.
   * @throws {@link FailureError} of kind `target-unreachable` if no byte was written, of kind
   *   `target-stream-broken` if the target may have started.
   */
  abstract send(
    req: TargetRequest,
    signal: AbortSignal,
  ): Promise<TargetResponse>;

  /**
   * Asks the target to stop a request. A target that cannot be reached or does not know the request
   * is not an error.
   *
   * @param attemptId - Id of the attempt.
   * @returns Whether the target confirmed that the attempt does not run any more.
   */
  abstract cancel(attemptId: string): Promise<boolean>;

  /**
   * Continues a stream that broke off.
   *
   * @param attemptId - Id of the attempt.
   * @param after - Number of events that were received.
   * @param signal - Aborted to give the request up.
   * @returns The answer, starting with the first event that was not received.
   * @throws {@link FailureError} of a target kind if the stream cannot be continued.
   */
  abstract resume(
    attemptId: string,
    after: number,
    signal: AbortSignal,
  ): Promise<TargetResponse>;

  /** @returns Whether the target certainly accepts no connection any more. */
  abstract isDown(): Promise<boolean>;

  /** Closes the connections to the target. */
  abstract close(): Promise<void>;
}
