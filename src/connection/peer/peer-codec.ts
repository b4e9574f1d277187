import type {MethodDefinition} from '@grpc/grpc-js';
import type {
  LinkMessage,
  MemberUpdate,
  Probe,
} from '../../process/membership/messages.js';
import {loadProto} from './proto.js';

/** Version of the protocol between hosts; a host accepts only its own. */
export const protocolVersion = 1;

/** Greatest encoded message on a link, in bytes: a page of records and its envelope. */
export const maxMessageBytes = 128 * 1024;

const maxUpdates = 64;
const maxZones = 64;
const maxOffsets = 128;
const maxNameLength = 64;

const service = loadProto('peer.proto', 'guavaseam.Peer');
const link = service['Link'] as MethodDefinition<LinkMessage, LinkMessage>;

/** Path of the method `Link`. */
export const linkPath = link.path;

/**
 * Encodes a link message.
 *
 * @param message - Message to encode.
 * @returns Protobuf bytes.
 */
export function encodeLinkMessage(message: LinkMessage): Buffer {
  return link.requestSerialize(message);
}

/**
 * Decodes and checks a link message.
 *
 * @param bytes - Protobuf bytes.
 * @returns The message, or `undefined` if it is malformed; it is never thrown for, because the
 *   receiver has to count the fault and to close the link.
 */
export function decodeLinkMessage(bytes: Buffer): LinkMessage | undefined {
  if (bytes.length > maxMessageBytes) return undefined;
  try {
    const message = link.requestDeserialize(bytes);
    return isValid(message) ? message : undefined;
  } catch {
    return undefined;
  }
}

/** Service definition of `Peer` whose messages are `undefined` if they are malformed. */
export const peerService = {
  Link: {
    ...link,
    requestSerialize: encodeLinkMessage,
    // grpc-js takes null for an absent message, so that a malformed one needs a value of its own.
    requestDeserialize: (bytes: Buffer) => ({
      message: decodeLinkMessage(bytes),
      bytes: bytes.length,
    }),
    responseSerialize: encodeLinkMessage,
    responseDeserialize: (bytes: Buffer) => ({
      message: decodeLinkMessage(bytes),
      bytes: bytes.length,
    }),
  },
};

/** A message as it came from the wire. */
export interface Incoming {
  /** Absent if malformed. */
  readonly message?: LinkMessage;
  /** Encoded size. */
  readonly bytes: number;
}

function isValid(message: LinkMessage): boolean {
  const {hello, ping, ack, pingReq, records, recordsWanted, gossip} = message;
  if (hello) {
    return [hello.id, hello.zone, hello.region, hello.address].every(isName);
  }
  if (ping) return isValidProbe(ping);
  if (ack) return isValidProbe(ack);
  if (pingReq) return isName(pingReq.target) && isName(pingReq.address);
  if (records) return records.stream !== '';
  if (recordsWanted) return recordsWanted.stream !== '';
  return gossip !== undefined && gossip.topic !== '';
}

function isValidProbe(probe: Probe): boolean {
  return (
    Number.isSafeInteger(probe.incarnation) &&
    (probe.lagging ?? '').length <= maxNameLength &&
    probe.updates.length <= maxUpdates &&
    probe.zones.length <= maxZones &&
    probe.offsets.length <= maxOffsets &&
    probe.updates.every(isValidUpdate) &&
    probe.zones.every(({zone}) => isName(zone))
  );
}

function isValidUpdate(update: MemberUpdate): boolean {
  const {id, zone, region, address, incarnation} = update;
  return (
    [id, zone, region, address].every(isName) &&
    Number.isSafeInteger(incarnation) &&
    ['alive', 'suspect', 'dead', 'left'].includes(update.state)
  );
}

function isName(value: string): boolean {
  return value.length > 0 && value.length <= maxNameLength;
}
