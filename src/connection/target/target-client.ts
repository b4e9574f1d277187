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
}

/** Head of a target's answer; the body follows as a stream. */
export interface TargetAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Readable;
}

/** Sends requests to one target. */
export abstract class TargetClient {
  /**
   * Sends a request.
   *
   * @param req - Request to send.
   * @param signal - Aborted to give the request up.
   * @returns The head of the answer, and its body as a stream that fails if the target breaks off.
   * @throws {@link FailureError} of kind `target-unreachable` if no byte was written, of kind
   *   `target-stream-broken` if the target may have started.
   */
  abstract send(req: TargetRequest, signal: AbortSignal): Promise<TargetAnswer>;

  /** Closes the connections to the target. */
  abstract close(): Promise<void>;
}
