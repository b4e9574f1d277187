/** Headers of an answer. */
export type ResponseHeaders = Record<string, string | string[]>;

/** Why an answer that was partly relayed breaks off. */
export type AbortReason =
  'answer-broken' | 'deadline-exceeded-running' | 'preempted';

/** Receives the answer on the caller's side. */
export abstract class ResponseSink {
  /** Whether the head of an answer was sent. */
  abstract readonly started: boolean;

  /**
   * Sends the head of the answer.
   *
   * @param status - Status code.
   * @param headers - End-to-end headers.
   */
  abstract head(status: number, headers: ResponseHeaders): void;

  /**
   * Sends bytes of the answer.
   *
   * @param chunk - Bytes to send.
   * @returns A promise if the caller reads slowly; nothing more may be written before it resolves.
   * @throws {@link FailureError} of kind `caller-left`, possibly by the promise.
   */
  abstract write(chunk: Buffer): Promise<void> | undefined;

  /** Ends a whole answer. */
  abstract end(): void;

  /**
   * Ends a partly relayed answer so that the caller sees that it is not whole.
   *
   * @param reason - Why it breaks off.
   */
  abstract abort(reason: AbortReason): void;
}
