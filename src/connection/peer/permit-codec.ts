import type {MethodDefinition} from '@grpc/grpc-js';
import {maxWirePrefixes} from '../../process/groups/permit-limits.js';
import type {
  FollowerMessage,
  HeldPermit,
  OwnerMessage,
  PermitFrame,
  WaitingRequest,
} from '../../process/groups/permit-messages.js';
import {refusals} from '../../request/refusals.js';
import type {QueuedRequest} from '../../request/scheduler/types.js';
import type {Tier} from '../../version/resources/kinds.js';
import {loadProto} from './proto.js';

/** Fields of a decoded message; each reader checks what it uses. */
type Fields = Record<string, unknown>;

/** A frame as the protobuf library sees it: the sequence and one body by its name. */
export type WireFrame = Fields;

/** Length of a prefix hash, in bytes. */
const hashBytes = 8;

/** The gRPC service of `proto/permits.proto`. */
export const permitsService = loadProto('permits.proto', 'guavaseam.Permits');

/** Its only method. */
export const permitsMethod = permitsService['Permits'] as MethodDefinition<
  WireFrame,
  WireFrame
>;

/**
 * Converts a frame for the wire.
 *
 * @param frame - Frame to send.
 * @returns Object in the form of `proto/permits.proto`.
 */
export function toWire({sequence, body}: PermitFrame): WireFrame {
  if (!body) return {sequence};
  return {sequence, [body.kind]: encodeBody(body)};
}

function encodeBody(body: FollowerMessage | OwnerMessage): Fields {
  switch (body.kind) {
    case 'request':
      return {ref: body.ref, ...encodeWaiting(body.waiting)};
    case 'follow':
      return {
        ...body,
        outstanding: body.outstanding.map(encodeHeld),
        waiting: body.waiting.map(encodeWaiting),
      };
    case 'release': {
      const {ref, serial, outcome} = body;
      return {
        ref,
        serial,
        ...outcome,
        result: outcome.result.replaceAll('-', '_'),
        firstTokenMs: rounded(outcome.firstTokenMs),
        totalMs: rounded(outcome.totalMs),
      };
    }
    case 'progress':
      return {...body, firstTokenMs: rounded(body.firstTokenMs)};
    case 'refuse':
      return {...body, retryAfterMs: rounded(body.retryAfterMs)};
    default:
      return {...body};
  }
}

function encodeWaiting({serial, request}: WaitingRequest): Fields {
  return {serial, body: encodeRequest(request)};
}

function encodeHeld(held: HeldPermit): Fields {
  const {serial, request, target, ageMs, tokens} = held;
  const body = encodeRequest(request);
  return {serial, body, target, ageMs: rounded(ageMs), tokens};
}

function encodeRequest(req: QueuedRequest): Fields {
  const {organisation, route, weight, tier, idempotent, promptTokens} = req;
  return {
    organisation,
    route,
    weight,
    tier,
    idempotent,
    timeoutMs: rounded(req.timeoutMs),
    promptTokens,
    maxTokens: req.maxTokens ?? 0,
    wholeAnswer: req.wholeAnswer ?? false,
    prefixes: encodePrefixes(req.prefixes),
    attempt: req.attempt,
    avoid: req.avoid,
  };
}

/** Keeps the shortest and the longest prefix and an even selection of those between. */
function encodePrefixes(prefixes: readonly string[]): Buffer {
  const hashes = prefixes.filter(hash => /^[0-9a-f]{16}$/.test(hash));
  const count = Math.min(hashes.length, maxWirePrefixes);
  const step = count > 1 ? (hashes.length - 1) / (count - 1) : 0;
  const kept = Array.from(
    {length: count},
    (_, i) => hashes[Math.round(i * step)],
  );
  return Buffer.from(kept.join(''), 'hex');
}

function rounded(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.max(0, Math.round(ms));
}

/**
 * Reads a frame from the wire.
 *
 * @param wire - Decoded protobuf message.
 * @param host - Host at the other end.
 * @returns The frame. A body of an unknown kind, as a later version may send, is left out.
 */
export function fromWire(wire: WireFrame, host: string): PermitFrame {
  const sequence = Number(wire['sequence']);
  const kind = wire['body'] as string | undefined;
  if (!kind) return {sequence};
  return {sequence, body: decodeBody(kind, wire[kind] as Fields, host)};
}

function decodeBody(
  kind: string,
  fields: Fields,
  host: string,
): FollowerMessage | OwnerMessage | undefined {
  const decoded = {...fields, kind};
  switch (kind) {
    case 'request': {
      const waiting = decodeWaiting(fields, host, '');
      return {kind, ref: Number(fields['ref']), waiting};
    }
    case 'follow': {
      const service = String(fields['group']).split('/')[1] ?? '';
      return {
        ...decoded,
        outstanding: (fields['outstanding'] as Fields[]).map(held => {
          const request = decodeRequest(held, host, service);
          const {serial, target, ageMs, tokens} = held;
          return {serial, request, target, ageMs, tokens};
        }),
        waiting: (fields['waiting'] as Fields[]).map(w =>
          decodeWaiting(w, host, service),
        ),
      } as unknown as FollowerMessage;
    }
    case 'release': {
      const {ref, serial, result, ...outcome} = fields;
      optional(outcome, 'firstTokenMs');
      optional(outcome, 'cachedTokens');
      const name = String(result).replaceAll('_', '-');
      return {
        kind,
        ref,
        serial,
        outcome: {...outcome, result: name},
      } as unknown as FollowerMessage;
    }
    case 'progress':
      optional(decoded, 'firstTokenMs');
      break;
    case 'refuse':
      optional(decoded, 'retryAfterMs');
      // A later version may have reasons that this one does not know.
      if (!(String(fields['reason']) in refusals)) {
        Object.assign(decoded, {reason: 'overloaded'});
      }
      break;
  }
  return decoded as unknown as FollowerMessage | OwnerMessage;
}

/** With `defaults`, the library presents an absent optional field as 0 beside an unset `_name`. */
function optional(fields: Fields, name: string): void {
  if (fields[`_${name}`] === undefined) delete fields[name];
  delete fields[`_${name}`];
}

function decodeWaiting(
  fields: Fields,
  host: string,
  service: string,
): WaitingRequest {
  const request = decodeRequest(fields, host, service);
  return {serial: Number(fields['serial']), request};
}

function decodeRequest(
  fields: Fields,
  host: string,
  service: string,
): QueuedRequest {
  const body = fields['body'] as Fields;
  const hashes = body['prefixes'] as Buffer;
  const prefixes = [];
  for (let at = 0; at + hashBytes <= hashes.length; at += hashBytes) {
    prefixes.push(hashes.toString('hex', at, at + hashBytes));
  }
  return {
    id: `${host}/${fields['serial']}`,
    host,
    service,
    organisation: String(body['organisation']),
    route: String(body['route']),
    weight: Number(body['weight']),
    tier: Math.min(3, Number(body['tier'])) as Tier,
    idempotent: body['idempotent'] === true,
    timeoutMs: Number(body['timeoutMs']),
    promptTokens: Number(body['promptTokens']),
    maxTokens: Number(body['maxTokens']) || undefined,
    wholeAnswer: body['wholeAnswer'] === true,
    prefixes,
    attempt: Number(body['attempt']),
    avoid: body['avoid'] as string[],
  };
}
