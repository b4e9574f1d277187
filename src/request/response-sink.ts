/** Headers of a response, by name. */
export type ResponseHeaders = Record<string, string | string[]>;

/** Why a partly relayed response is aborted. */
export type AbortReason =
  'answer-broken' | 'deadline-exceeded-running' | 'preempted';

/** Writes a response to the caller. */
export abstract class ResponseSink {
  /** Whether the head of a response was sent. */
  abstract readonly started: boolean;

  /**
   * Sends the head of the response.
   *
   * @param status - Status code.
   * @param headers - End-to-end headers.
   */
  abstract head(status: number, headers: ResponseHeaders): void;

  /**
   * Sends part of the response body.
   *
   * @param chunk - Bytes to send.
   * @returns A promise if the caller reads too slowly (backpressure); write nothing more until it
   *   resolves.
   * @throws {@link FailureError} of kind `caller-left` if the caller disconnected; the promise may
   *   also reject with it.
   */
  abstract write(chunk: Buffer): Promise<void> | undefined;

  /** Ends a complete response. */
  abstract end(): void;

  /**
   * Ends a partly relayed response in a way that lets the caller detect the truncation.
   *
   * @param reason - Why the response is aborted.
   */
  abstract abort(reason: AbortReason): void;
}
