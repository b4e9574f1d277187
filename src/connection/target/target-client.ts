import type {IncomingHttpHeaders} from 'node:http';
import type {Readable} from 'node:stream';

/** One attempt of a request, as it is sent to a target. */
export interface TargetRequest {
  /** Id of the attempt, by which engines resume and cancel it. */
  readonly attemptId: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: Record<string, string | string[]>;
  readonly body: Buffer;
  /** Whether running the request more than once is safe. */
  readonly idempotent: boolean;
}

/** Response head of a target, with the body as a stream. */
export interface TargetResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Fails if the response is cut short. Must be read to its end or destroyed. */
  readonly body: Readable;
}

/** Sends requests to one target. */
export abstract class TargetClient {
  /** Whether the target can resume a stream by the id of the attempt. */
  abstract readonly resumable: boolean;

  /**
   * Sends a request.
   *
   * @param req - Request to send.
   * @param signal - Aborts the request.
   * @returns The response head, with the body as a stream that fails if the response is cut short.
   * @throws {@link FailureError} of kind `target-unreachable` if no byte was written, of kind
   *   `target-stream-broken` if the target may have started the request.
   */
  abstract send(
    req: TargetRequest,
    signal: AbortSignal,
  ): Promise<TargetResponse>;

  /**
   * Requests the target to cancel an attempt. It is not an error if the target cannot be reached or
   * does not know the attempt.
   *
   * @param attemptId - Id of the attempt.
   * @returns Whether the target confirmed that the attempt is no longer running.
   */
  abstract cancel(attemptId: string): Promise<boolean>;

  /**
   * Resumes a stream that was cut short.
   *
   * @param attemptId - Id of the attempt.
   * @param after - Number of events that were received.
   * @param signal - Aborts the request.
   * @returns The response, starting with the first event that was not received.
   * @throws {@link FailureError} of a target kind if the stream cannot be resumed.
   */
  abstract resume(
    attemptId: string,
    after: number,
    signal: AbortSignal,
  ): Promise<TargetResponse>;

  /** @returns Whether the target is known to refuse connections; `false` if that is uncertain. */
  abstract isDown(): Promise<boolean>;

  /** Closes the connections to the target. */
  abstract close(): Promise<void>;
}
