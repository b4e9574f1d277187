import type {Stream} from 'most';

/** Membership state of a host, as another host or the host itself knows it. */
export interface Member {
  /** Name of the host, unique in the fleet. */
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  /** Address of the peer server, `IP:PORT`. */
  readonly peerAddress: string;
  /** Increased only by the member itself, on each start and to refute a suspicion. */
  readonly incarnation: number;
  readonly state: 'alive' | 'suspect' | 'dead' | 'left';
  /** Offset of the configuration that is in effect at the member. */
  readonly configOffset: number;
  /** Opaque payload that the member publishes about itself; at most 32 bytes. */
  readonly summary?: Uint8Array;
}

/** Aggregated membership of a zone. */
export interface ZoneView {
  /** `unknown`: no gossip arrives from the zone, so the state of its members is not known. */
  readonly state: 'heard' | 'unknown';
  /** Number of live members; 0 if unknown. */
  readonly live: number;
  /** Minimum configuration offset of the live members; absent if unknown or without members. */
  readonly configOffset?: number;
}

/** Read-only view of the membership, for components that depend on which hosts are alive. */
export abstract class MemberView {
  /** This host. */
  abstract readonly self: Member;

  /** Publishes each member after it changed. */
  abstract readonly changes: Stream<Member>;

  /**
   * Lists the members that are not confirmed dead and have not left, including this host.
   *
   * @param zone - Zone to list; all known members if absent.
   * @returns Members ordered by id.
   */
  abstract live(zone?: string): readonly Member[];
}
