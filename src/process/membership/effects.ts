import type {Member} from '../member-view.js';
import type {LinkMessage, PeerIdentity, StreamOffset} from './messages.js';

/** Receiver of a message; the id is empty if only the address is known. */
export interface Receiver {
  readonly id: string;
  readonly address: string;
}

/** Why this host has to give up what it holds. */
export type PauseReason = 'paused' | 'declared-dead';

/** What the membership asks its host to do or tells it. */
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
      /** Length of the pause in milliseconds; 0 if it is not known. */
      readonly pausedMs: number;
    }
  /** Offsets that another host announced. */
  | {
      readonly kind: 'offsets';
      readonly from: PeerIdentity;
      readonly offsets: readonly StreamOffset[];
    }
  /** Members to which links are kept; other idle links may be closed. */
  | {readonly kind: 'links'; readonly ids: readonly string[]};
