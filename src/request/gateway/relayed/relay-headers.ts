import type {CallerHead, WireFormat} from '../wire-format.js';

/** Prefix of the headers that hosts add to relayed requests and to their own refusals; no other party sees them. */
const prefix = 'guavaseam-relay-';
const names = {
  host: `${prefix}host`,
  version: `${prefix}config-version`,
  service: `${prefix}service`,
  route: `${prefix}route`,
  organisation: `${prefix}organisation`,
  elapsedMs: `${prefix}elapsed-ms`,
  refusal: `${prefix}refusal`,
  run: `${prefix}run`,
  request: `${prefix}request`,
} as const;

/** What a host states about a request that it sends through another one. */
export interface RelayHead {
  /** Host with the caller. */
  readonly host: string;
  /** Version of the configuration that routed the request. */
  readonly configVersion: number;
  readonly service: string;
  readonly route: string;
  readonly organisation?: string;
  /** Time since the arrival at that host, in milliseconds. */
  readonly elapsedMs: number;
}

/** Whether a target ran a request that the relaying host refuses. */
export const relayRuns = {
  /** It was sent to no target. */
  notSent: 'not-sent',
  /** A target refused to run it. */
  targetRefused: 'target-refused',
  /** A target may have run it. */
  mayHaveRun: 'may-have-run',
} as const;

/** One of {@link relayRuns}. */
export type RelayRun = (typeof relayRuns)[keyof typeof relayRuns];

/** Refusal of a host that should have relayed a request. */
export interface RelayRefusal {
  /** Reason, for logs. */
  readonly name: string;
  readonly run: RelayRun;
  /** Id of the refused request. */
  readonly requestId: string;
}

/**
 * Encodes what a host states about a relayed request.
 *
 * @param head - Statements of the host with the caller.
 * @returns Header names and values, alternating.
 */
export function formatRelayHead(head: RelayHead): string[] {
  const {host, service, route, organisation, elapsedMs} = head;
  const headers = [names.host, encodeURIComponent(host)];
  headers.push(names.version, String(head.configVersion));
  headers.push(names.service, encodeURIComponent(service));
  headers.push(names.route, encodeURIComponent(route));
  headers.push(names.elapsedMs, String(Math.max(0, Math.floor(elapsedMs))));
  if (organisation !== undefined) {
    headers.push(names.organisation, encodeURIComponent(organisation));
  }
  return headers;
}

/**
 * Decodes what a host states about a relayed request.
 *
 * @param headers - Headers by lower-case name.
 * @returns The statements, or `undefined` if they are incomplete or invalid.
 */
export function parseRelayHead(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): RelayHead | undefined {
  const host = decode(headers[names.host]);
  const service = decode(headers[names.service]);
  const route = decode(headers[names.route]);
  const organisation = decode(headers[names.organisation]);
  const elapsedMs = parseCount(headers[names.elapsedMs]);
  const configVersion = parseCount(headers[names.version]);
  if (!host || !service || !route) return undefined;
  if (elapsedMs === undefined || configVersion === undefined) return undefined;
  // A request whose organisation cannot be read must not pass for a public one.
  if (headers[names.organisation] !== undefined && !organisation) {
    return undefined;
  }
  return {host, configVersion, service, route, organisation, elapsedMs};
}

/**
 * Encodes a refusal.
 *
 * @param refusal - Reason, and whether a target may have run the request.
 * @returns Headers by name.
 */
export function formatRelayRefusal(
  refusal: RelayRefusal,
): Record<string, string> {
  const {name, run, requestId} = refusal;
  return {
    [names.refusal]: name,
    [names.run]: run,
    [names.request]: requestId,
  };
}

/**
 * Decodes the refusal of a relaying host.
 *
 * @param headers - Headers of a response by lower-case name.
 * @returns The refusal, or `undefined` if the response is that of a target.
 */
export function parseRelayRefusal(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): RelayRefusal | undefined {
  const name = headers[names.refusal];
  const requestId = headers[names.request];
  if (typeof name !== 'string' || typeof requestId !== 'string') {
    return undefined;
  }
  const stated = headers[names.run];
  // What this version does not know may have run.
  const run =
    Object.values(relayRuns).find(each => each === stated) ??
    relayRuns.mayHaveRun;
  return {name, run, requestId};
}

/**
 * Checks whether a header is one of those that hosts add for each other.
 *
 * @param name - Name of a header.
 */
export function isRelayHeader(name: string): boolean {
  return name.toLowerCase().startsWith(prefix);
}

/**
 * Decodes the headers of a request. Those that only hosts may add are not forwarded, so that callers cannot forge them
 * and targets do not receive them.
 *
 * @param wire - Wire format of callers.
 * @param rawHeaders - Names and values as received, alternating.
 * @returns Decoded headers.
 */
export function readCallerHead(
  wire: WireFormat,
  rawHeaders: readonly string[],
): CallerHead {
  const head = wire.readCaller(rawHeaders);
  const {forwarded} = head;
  const isOwn = (i: number) => isRelayHeader(forwarded[i - (i % 2)]);
  if (!forwarded.some((_each, i) => isOwn(i))) return head;
  return {...head, forwarded: forwarded.filter((_each, i) => !isOwn(i))};
}

function parseCount(value: string | string[] | undefined): number | undefined {
  if (typeof value !== 'string' || !/^\d{1,15}$/.test(value)) return undefined;
  return Number(value);
}

function decode(value: string | string[] | undefined): string | undefined {
  if (typeof value !== 'string') return undefined;
  try {
    return decodeURIComponent(value);
  } catch {
    return undefined;
  }
}
