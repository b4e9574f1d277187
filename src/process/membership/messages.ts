/** State of a member, in rising precedence at the same incarnation. */
export type MemberState = 'alive' | 'suspect' | 'dead' | 'left';

/** What one host tells another about a member. */
export interface MemberUpdate {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly address: string;
  readonly incarnation: number;
  readonly state: MemberState;
  /** Raised by the member with each change of the two fields below. */
  readonly version: number;
  readonly configOffset: number;
  readonly summary: Uint8Array;
}

/** Identity of the host at the other end of a link, checked by the link. */
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

/** Next offset that a host wants of a log stream. */
export interface StreamOffset {
  readonly stream: string;
  readonly next: number;
}

/** Time since a zone was last heard, in units of 100 ms. */
export interface ZoneAge {
  readonly zone: string;
  readonly age: number;
}

/** Content of a ping or an ack. */
export interface Probe {
  /** 0 in a ping that wants no ack. */
  readonly sequence: number;
  readonly incarnation: number;
  readonly version: number;
  readonly configOffset: number;
  readonly summary: Uint8Array;
  readonly updates: readonly MemberUpdate[];
  readonly zones: readonly ZoneAge[];
  readonly offsets: readonly StreamOffset[];
  /** Asks for all members. */
  readonly sync: boolean;
  /** Host that an intermediate reached; empty in a direct ack. */
  readonly reached: string;
  /** Member of the common zone that the sender of a ping knows only with an old offset. */
  readonly lagging?: string;
}

/** Message on a link; exactly one field is set. */
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
 * @param update - Update to measure; its names are ASCII.
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
 * @param entry - Entry to measure.
 * @returns Size in bytes.
 */
export function zoneAgeBytes(entry: ZoneAge): number {
  return fieldBytes(fieldBytes(entry.zone.length) + numberBytes(entry.age));
}

/**
 * Computes the encoded size of a link message with a probe that has no updates and no zone ages.
 *
 * @param probe - Probe to measure.
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
