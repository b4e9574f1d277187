import type {PermitLink} from '../../connection/peer/permit-transport.js';
import {heartbeatMs, linkTimeoutMs} from './permit-limits.js';
import type {
  FollowerMessage,
  OwnerMessage,
  PermitFrame,
} from './permit-messages.js';

/**
 * Delivers the messages of a link in order and exactly once, or ends. Duplicates are dropped. A gap
 * in the sequence or a silent peer ends the session, after which the follower lists its permits and
 * requests again.
 */
export class PermitSession<
  Sent extends FollowerMessage | OwnerMessage,
  Received extends FollowerMessage | OwnerMessage,
> {
  private sent = 0;
  private received = 0;
  private lastSentMs: number;
  private lastReceivedMs: number;
  private ended = false;

  /**
   * @param link - Returns the sending side; called only after it has been created.
   * @param deliver - Called once for each message, in order.
   * @param onEnd - Called once with the reason when the session ends other than by `close`.
   * @param nowMs - Current time of this host's clock, in milliseconds.
   */
  constructor(
    private readonly link: () => PermitLink,
    private readonly deliver: (message: Received) => void,
    private readonly onEnd: (reason: string) => void,
    nowMs: number,
  ) {
    this.lastSentMs = nowMs;
    this.lastReceivedMs = nowMs;
  }

  /** Sends a message, or a heartbeat if `body` is undefined. */
  send(body: Sent | undefined, nowMs: number): void {
    if (this.ended) return;
    this.lastSentMs = nowMs;
    this.link().send({sequence: ++this.sent, body});
  }

  /** Handles a frame from the link. */
  receive(frame: PermitFrame, nowMs: number): void {
    if (this.ended || frame.sequence <= this.received) return;
    if (frame.sequence !== this.received + 1) {
      this.end(`frame ${this.received + 1} was lost`);
      return;
    }
    this.received = frame.sequence;
    this.lastReceivedMs = nowMs;
    if (frame.body) this.deliver(frame.body as Received);
  }

  /** Sends a heartbeat on an idle link and ends the session if the peer is silent. */
  tick(nowMs: number): void {
    if (this.ended) return;
    if (nowMs - this.lastReceivedMs >= linkTimeoutMs) {
      this.end('the peer is silent');
    } else if (nowMs - this.lastSentMs >= heartbeatMs) {
      this.send(undefined, nowMs);
    }
  }

  /** Ends the session and calls `onEnd`. */
  end(reason: string): void {
    if (this.ended) return;
    this.close();
    this.onEnd(reason);
  }

  /** Ends the session without calling `onEnd`. */
  close(): void {
    if (this.ended) return;
    this.ended = true;
    this.link().close();
  }
}
