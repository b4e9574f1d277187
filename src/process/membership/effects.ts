import type {Member} from '../member-view.js';
import type {LinkMessage, PeerIdentity, StreamOffset} from './messages.js';

/** Host that a message is sent to; the id is empty if only the address is known. */
export interface Receiver {
  readonly id: string;
  readonly address: string;
}

/** Why this host must release everything it holds, such as claims and ownership of groups. */
export type PauseReason = 'paused' | 'declared-dead';

/** Action or notification that the membership core returns to its caller. */
export type Effect =
  | {
      readonly kind: 'send';
      readonly to: Receiver;
      readonly message: LinkMessage;
    }
  | {readonly kind: 'changed'; readonly member: Member}
  | {
      readonly kind: 'selfPaused';
      readonly reason: PauseReason;
      /** Length of the pause in milliseconds; 0 if unknown. */
      readonly pausedMs: number;
    }
  /** Another host announced its stream offsets. */
  | {
      readonly kind: 'offsets';
      readonly from: PeerIdentity;
      readonly offsets: readonly StreamOffset[];
    }
  /** Members to keep links to; other idle links may be closed. */
  | {readonly kind: 'links'; readonly ids: readonly string[]};
