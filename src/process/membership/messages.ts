/** State of a member, in rising precedence at the same incarnation. */
export type MemberState = 'alive' | 'suspect' | 'dead' | 'left';

/** Gossip about one member, sent from host to host. */
export interface MemberUpdate {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly address: string;
  readonly incarnation: number;
  readonly state: MemberState;
  /** Incremented by the member whenever one of the two fields below changes. */
  readonly version: number;
  readonly configOffset: number;
  readonly summary: Uint8Array;
}

/** Identity of the host at the other end of a link, verified by the link. */
export interface PeerIdentity {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  /** Address of its peer server, `IP:PORT`. */
  readonly address: string;
}

/** First message in each direction of a link. */
export interface Hello extends PeerIdentity {
  readonly fleet: string;
  readonly protocol: number;
  readonly incarnation: number;
}

/** Offset of the next record that a host needs from a log stream. */
export interface StreamOffset {
  readonly stream: string;
  readonly next: number;
}

/** Age of the latest gossip from a zone. */
export interface ZoneAge {
  readonly zone: string;
  /** Time since the gossip was received, directly or through other hosts, in units of 100 ms. */
  readonly age: number;
}

/** Content of a ping or an ack. */
export interface Probe {
  /** 0 in a ping that does not request an ack. */
  readonly sequence: number;
  readonly incarnation: number;
  readonly version: number;
  readonly configOffset: number;
  readonly summary: Uint8Array;
  readonly updates: readonly MemberUpdate[];
  readonly zones: readonly ZoneAge[];
  readonly offsets: readonly StreamOffset[];
  /** Requests all members that the receiver knows. */
  readonly sync: boolean;
  /** Host that acked an indirect ping, set by the intermediate; empty in a direct ack. */
  readonly reached: string;
  /** Member of the zone of both hosts for which the sender of the ping has an outdated offset. */
  readonly lagging?: string;
}

/** Message on a link; exactly one field is set, as in the `oneof` of `peer.proto`. */
export interface LinkMessage {
  readonly hello?: Hello;
  readonly ping?: Probe;
  readonly ack?: Probe;
  readonly pingReq?: {
    readonly sequence: number;
    readonly target: string;
    readonly address: string;
  };
  readonly records?: {
    readonly stream: string;
    readonly records: readonly {
      readonly offset: number;
      readonly data: Uint8Array;
    }[];
  };
  readonly recordsWanted?: {readonly stream: string; readonly from: number};
  readonly gossip?: {readonly topic: string; readonly data: Uint8Array};
}

function varintBytes(value: number): number {
  let bytes = 1;
  for (let rest = value; rest >= 128; rest /= 128) bytes++;
  return bytes;
}

function fieldBytes(length: number): number {
  return length === 0 ? 0 : 1 + varintBytes(length) + length;
}

function numberBytes(value: number): number {
  return value === 0 ? 0 : 1 + varintBytes(value);
}

/**
 * Computes the encoded size of an update inside a probe.
 *
 * @param update - Update to measure; its strings must be ASCII.
 * @returns Size in bytes.
 */
export function updateBytes(update: MemberUpdate): number {
  const content =
    fieldBytes(update.id.length) +
    fieldBytes(update.zone.length) +
    fieldBytes(update.region.length) +
    fieldBytes(update.address.length) +
    numberBytes(update.incarnation) +
    (update.state === 'alive' ? 0 : 2) +
    numberBytes(update.version) +
    numberBytes(update.configOffset) +
    fieldBytes(update.summary.length);
  return fieldBytes(content);
}

/**
 * Computes the encoded size of a zone age inside a probe.
 *
 * @param entry - Zone age to measure; its name must be ASCII.
 * @returns Size in bytes.
 */
export function zoneAgeBytes(entry: ZoneAge): number {
  return fieldBytes(fieldBytes(entry.zone.length) + numberBytes(entry.age));
}

/**
 * Computes the encoded size of a link message that carries a probe, without its updates and zone
 * ages.
 *
 * @param probe - Probe to measure; its strings must be ASCII.
 * @returns Size in bytes.
 */
export function probeHeadBytes(probe: Probe): number {
  const offsets = probe.offsets.reduce(
    (sum, {stream, next}) =>
      sum + fieldBytes(fieldBytes(stream.length) + numberBytes(next)),
    0,
  );
  return (
    4 + // tag and length of the probe in the link message
    numberBytes(probe.sequence) +
    numberBytes(probe.incarnation) +
    numberBytes(probe.version) +
    numberBytes(probe.configOffset) +
    fieldBytes(probe.summary.length) +
    offsets +
    2 + // sync
    fieldBytes(probe.reached.length) +
    fieldBytes(probe.lagging?.length ?? 0)
  );
}
