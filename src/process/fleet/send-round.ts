/** Maximum number of datagrams that are sent at once. */
const maxBatch = 16;
/** Maximum number of bytes that are sent at once, unless a single datagram has more. */
const maxBatchBytes = 24_576;

/** Time between two batches of a round, in milliseconds; with `maxBatchBytes` some 6.5 Mbit/s. */
export const batchIntervalMs = 30;

/**
 * Divides the recipients of one message into batches. Datagrams that do not fit the queue of a small link are
 * dropped. If all were sent at once in a fixed order, the same recipients would always miss them.
 */
export class SendRound {
  private recipients: readonly string[] = [];
  private remaining = 0;
  /** Recipient with which the next batch begins. */
  private next = 0;

  /** Number of recipients that have not got the message. */
  get pending(): number {
    return this.remaining;
  }

  /**
   * Begins a round with a new message, after the recipient that was served last. Recipients that have
   * not got the previous message get only the new one.
   *
   * @param recipients - Addresses of all recipients.
   */
  start(recipients: readonly string[]): void {
    this.recipients = recipients;
    this.remaining = recipients.length;
    if (this.next >= recipients.length) this.next = 0;
  }

  /**
   * Takes the recipients of the next batch.
   *
   * @param bytes - Size of a datagram, in bytes.
   */
  takeBatch(bytes: number): string[] {
    const {recipients, remaining} = this;
    const fitting = Math.max(1, Math.floor(maxBatchBytes / bytes));
    const count = Math.min(remaining, maxBatch, fitting);
    const batch = Array.from(
      {length: count},
      (_, i) => recipients[(this.next + i) % recipients.length],
    );
    this.remaining -= count;
    if (count > 0) this.next = (this.next + count) % recipients.length;
    return batch;
  }
}
