/**
 * An actor: it owns its state and handles one message at a time, in order of arrival.
 *
 * A message that is posted while another one is handled waits in the inbox, so `run` never observes
 * partially updated state. Handling is synchronous; results of asynchronous work are posted as
 * messages.
 */
export abstract class Task<Message> {
  private readonly inbox: Message[] = [];
  private coroutine: Generator<undefined, void, Message> | undefined;
  private handling = false;
  private ended = false;

  /**
   * Delivers a message and handles it, unless another one is being handled. Messages to a task that
   * has ended are dropped.
   *
   * @param message - Message to handle.
   */
  post(message: Message): void {
    if (this.ended) return;
    this.inbox.push(message);
    if (!this.handling) this.drainInbox();
  }

  /** Handles messages: each `yield` returns the next one. Returning ends the task. */
  protected abstract run(): Generator<undefined, void, Message>;

  private drainInbox(): void {
    this.handling = true;
    try {
      if (!this.coroutine) {
        this.coroutine = this.run();
        this.coroutine.next();
      }
      while (this.inbox.length > 0 && !this.ended) {
        const message = this.inbox.shift() as Message;
        this.ended = this.coroutine.next(message).done === true;
      }
    } finally {
      this.handling = false;
    }
  }
}
