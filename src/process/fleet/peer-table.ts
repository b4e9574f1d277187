import type {GossipMessage} from './gossip-message.js';

/** Time after which a host that says nothing is not heard any more, in milliseconds. */
export const heardWithinMs = 900;
/** Time after which a host that says nothing is not counted any more, in milliseconds. */
const countedWithinMs = 30_000;

/** What is known of another host. */
export interface Peer {
  readonly host: string;
  ip: string;
  zone: string;
  /** Newest message, if one was heard. */
  message?: GossipMessage;
  /** Time of the newest message, or of the entry in the store, on the process's clock. */
  heardAtMs: number;
  left: boolean;
}

/** Other hosts of the deployment. */
export class PeerTable {
  private readonly peers = new Map<string, Peer>();

  /** @param self - Name of this host. */
  constructor(private readonly self: string) {}

  /** All other hosts that may be running. */
  get all(): readonly Peer[] {
    return [...this.peers.values()].filter(({left}) => !left);
  }

  /**
   * Adds a host that registered itself in the store.
   *
   * @param host - Name of the host.
   * @param ip - Its address.
   * @param zone - Its availability zone.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  listed(host: string, ip: string, zone: string, nowMs: number): void {
    if (host === this.self) return;
    const known = this.peers.get(host);
    if (!known) {
      this.peers.set(host, {host, ip, zone, heardAtMs: nowMs, left: false});
    } else if (!known.message) {
      known.ip = ip;
    }
  }

  /**
   * Removes a host that was removed from the store.
   *
   * @param host - Name of the host.
   */
  unlisted(host: string): void {
    const known = this.peers.get(host);
    if (known) known.left = true;
  }

  /**
   * Takes a message.
   *
   * @param message - Message of another host.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @returns Whether it is newer than what was heard of the host.
   */
  hear(message: GossipMessage, nowMs: number): boolean {
    const {host, ip, zone, incarnation, sequence} = message;
    if (host === this.self) return false;
    const known = this.peers.get(host);
    const last = known?.message;
    if (
      last &&
      (incarnation < last.incarnation ||
        (incarnation === last.incarnation && sequence <= last.sequence))
    ) {
      return false;
    }
    const peer = known ?? {host, ip, zone, heardAtMs: nowMs, left: false};
    peer.ip = ip;
    peer.zone = zone;
    peer.message = message;
    peer.heardAtMs = nowMs;
    peer.left = message.leaving;
    this.peers.set(host, peer);
    return true;
  }

  /**
   * Lists the hosts that were heard lately.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  heard(nowMs: number): Peer[] {
    return this.all.filter(
      ({message, heardAtMs}) =>
        message !== undefined && nowMs - heardAtMs <= heardWithinMs,
    );
  }

  /**
   * Lists the names of all hosts that may be running, this one included.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  names(nowMs: number): string[] {
    const names = [this.self];
    for (const {host, heardAtMs} of this.all) {
      if (nowMs - heardAtMs <= countedWithinMs) names.push(host);
    }
    return names;
  }
}
