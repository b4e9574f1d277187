import type {Stream} from 'most';

/** What a host knows of another host, or of itself. */
export interface Member {
  /** Name of the host, unique in the fleet. */
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  /** Address of the peer server, `IP:PORT`. */
  readonly peerAddress: string;
  /** Raised by the member itself to refute a suspicion and on each start. */
  readonly incarnation: number;
  readonly state: 'alive' | 'suspect' | 'dead' | 'left';
  /** Offset of the configuration that is in effect at the member. */
  readonly configOffset: number;
  /** Short content that the member publishes about itself; at most 32 bytes. */
  readonly summary?: Uint8Array;
}

/** What is known of a zone as a whole. */
export interface ZoneView {
  /** `unknown`: the zone cannot be heard, so nothing can be said about its members. */
  readonly state: 'heard' | 'unknown';
  /** Live members, empty if unknown. */
  readonly live: number;
  /** Least configuration offset of the live members; absent if unknown or without members. */
  readonly configOffset?: number;
}

/** Read side of the membership, for the parts that depend on who is alive. */
export abstract class MemberView {
  /** This host. */
  abstract readonly self: Member;

  /** Each member after it changed. */
  abstract readonly changes: Stream<Member>;

  /**
   * Lists members that are not confirmed dead and have not left, this host included.
   *
   * @param zone - Zone to list; all known members if absent.
   * @returns Members ordered by id.
   */
  abstract live(zone?: string): readonly Member[];
}
