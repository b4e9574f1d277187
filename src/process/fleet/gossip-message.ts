import type {
  Evidence,
  EvidenceCell,
} from '../../version/deployment/canary-evaluator.js';
import {
  isHostAddress,
  isTargetAddress,
  isTargetId,
} from '../../version/deployment/addresses.js';
import {
  maxAgeMs,
  type ColdTime,
  type FeedUpdate,
  type TargetUpdate,
} from '../../version/deployment/feed-update.js';
import {emptyReport, type CrashReport} from '../crashes/crash-report.js';
import {
  isNumberWithin,
  maxCount,
  maxDurationMs,
  maxStatedMs,
} from '../number-limits.js';
import type {StatementReport} from '../pool/target-statements.js';
import {decodeCrashReport, encodeCrashReport} from './crash-codec.js';
import type {SectionValues} from './gossip-section.js';
import {decodeStatements, encodeStatements} from './statement-codec.js';
import {
  canaryPhases,
  type CanaryPhase,
} from '../../version/deployment/canary-router.js';

/** Load of one target as one host reports it. */
export interface TargetReport {
  /** Requests of the reporting host in flight at the target. */
  readonly load: number;
  /** Prompt tokens of those requests that have no first event yet. */
  readonly pendingPromptTokens: number;
  /** Time per generated token as the host measured it, in milliseconds; 0 without a measurement. */
  readonly tokenMs: number;
}

/**
 * States how long ago the sender of a message received the newest message of its recipient. With it the
 * recipient computes by its own clock when the sender composed the message; see {@link composedAtMs}.
 */
export interface Echo {
  /** Incarnation of the recipient that sent the newest message. */
  readonly incarnation: number;
  /** `sentAtMs` of that message. */
  readonly sentAtMs: number;
  /** Time from receiving that message to composing this one, in milliseconds. */
  readonly heldMs: number;
}

/** Gossip message, which each host sends to all others several times per second. */
export interface GossipMessage {
  readonly host: string;
  readonly ip: string;
  readonly zone: string;
  /** Unix time at which the host started, in milliseconds; identifies one run of its process. */
  readonly incarnation: number;
  /** Increases with each message of an incarnation. */
  readonly sequence: number;
  /**
   * Monotonic time of the host when it composed the message, in milliseconds; only the host itself can
   * interpret it. Absent in messages of hosts that run an older version.
   */
  readonly sentAtMs?: number;
  /** About the recipient's newest message; differs between recipients, absent if none was received. */
  readonly echo?: Echo;
  /** Whether the host is about to stop permanently. */
  readonly leaving: boolean;
  /** Whether calls of the host to the store succeed. */
  readonly storeReachable: boolean;
  /** Read positions of the host in the logs of the store, and recent changes that it has read. */
  readonly feedUpdate: FeedUpdate;
  /** Reports by id of the target. */
  readonly targetReports: Readonly<Record<string, TargetReport>>;
  /** What targets say of themselves in their responses. */
  readonly statements: readonly StatementReport[];
  /** Quota units that the host has used since its start, by organisation. */
  readonly used: Readonly<Record<string, number>>;
  /** Levels of the quota buckets by organisation; only sent while another host has just started. */
  readonly levels?: Readonly<Record<string, number>>;
  /** Crashes of targets that the host saw or for which it refuses requests. */
  readonly crashReport: CrashReport;
  /** Evidence about new versions, by service under rollout. */
  readonly evidence: ReadonlyMap<string, Evidence>;
  /** Canary phases at the host, by service under rollout. */
  readonly phases: ReadonlyMap<
    string,
    {orderOffset: number; phase: CanaryPhase}
  >;
  /** Parts of features, not yet decoded, for all hosts and for the recipient only. */
  readonly sections?: SectionValues;
  readonly directedSections?: SectionValues;
}

/**
 * Encodes a message as JSON, except for its echo, so that the part which is the same for all recipients is
 * encoded once. Single-letter keys and arrays keep it within one datagram.
 *
 * @param message - Message to send.
 * @returns The beginning of the datagram; {@link encodeEcho} returns the rest.
 */
export function encodeGossip(message: GossipMessage): Buffer {
  const {feedUpdate: update} = message;
  const evidence: Record<string, unknown> = {};
  for (const [service, cells] of message.evidence) {
    evidence[service] = Object.entries(cells).map(([name, cell]) => [
      name,
      cell.requests,
      cell.failures,
      Math.round(cell.logLatencySum * 100) / 100,
    ]);
  }
  const phases: Record<string, unknown> = {};
  for (const [service, {orderOffset, phase}] of message.phases) {
    phases[service] = [orderOffset, phase];
  }
  const reports: Record<string, number[]> = {};
  for (const [id, {load, pendingPromptTokens, tokenMs}] of Object.entries(
    message.targetReports,
  )) {
    reports[id] = [load, pendingPromptTokens, Math.round(tokenMs * 100) / 100];
  }
  const json = JSON.stringify({
    h: message.host,
    a: message.ip,
    z: message.zone,
    i: message.incarnation,
    n: message.sequence,
    m:
      message.sentAtMs === undefined ? undefined : Math.floor(message.sentAtMs),
    b: message.leaving ? 1 : 0,
    s: message.storeReachable ? 1 : 0,
    o: [
      update.orders,
      update.ordersAgeMs,
      update.ordersReadAtMs,
      update.configuration,
    ],
    t: [
      update.targets,
      update.targetsAgeMs,
      update.digest,
      update.targetsReadAtMs,
    ],
    c: update.changes.length > 0 ? update.changes.map(encodeChange) : undefined,
    d: update.coldTimes?.length
      ? update.coldTimes.map(({id, bornMs, coldMs}) => [id, bornMs, coldMs])
      : undefined,
    l: reports,
    x: encodeStatements(message.statements),
    u: message.used,
    q: message.levels,
    k: encodeCrashReport(message.crashReport),
    e: message.evidence.size > 0 ? evidence : undefined,
    p: message.phases.size > 0 ? phases : undefined,
    v: message.sections,
  });
  return Buffer.from(json.slice(0, -1));
}

/**
 * Encodes the end of a message, which differs between recipients.
 *
 * @param echo - Echo for the recipient.
 * @param directedSections - Parts of features for the recipient only.
 */
export function encodeEcho(
  echo: Echo | undefined,
  directedSections?: SectionValues,
): Buffer {
  const parts = directedSections
    ? `,"w":${JSON.stringify(directedSections)}`
    : '';
  if (!echo) return Buffer.from(`${parts}}`);
  const {incarnation, sentAtMs, heldMs} = echo;
  return Buffer.from(
    `,"r":[${incarnation},${sentAtMs},${Math.floor(heldMs)}]${parts}}`,
  );
}

function encodeChange({offset, id, entry, keepMs}: TargetUpdate): unknown[] {
  if (!entry) return [offset, id, keepMs];
  const {service, address, zone, version, slots, bornMs} = entry;
  const draining = entry.draining ? 1 : 0;
  const rest = [service, address, zone, version, slots, draining];
  return [offset, id, keepMs, ...rest, entry.coldMs, bornMs];
}

/**
 * Decodes a message. Malformed entries of its lists are skipped.
 *
 * @param datagram - Datagram as received.
 * @returns The message, or `undefined` if the datagram is not a valid message.
 */
export function decodeGossip(datagram: Buffer): GossipMessage | undefined {
  let value: unknown;
  try {
    value = JSON.parse(datagram.toString('utf8'));
  } catch {
    return undefined;
  }
  if (typeof value !== 'object' || value === null) return undefined;
  const {h, a, z, i, n, m, r, b, s, o, t, c, d, l, u, q, e, p, k, x, v, w} =
    value as Record<string, unknown>;
  if (typeof h !== 'string' || typeof a !== 'string' || typeof z !== 'string') {
    return undefined;
  }
  if (!isHostAddress(a)) return undefined;
  const update = decodeFeedUpdate(o, t, c, d);
  if (!isNumber(i) || !isNumber(n) || !update) return undefined;
  return {
    host: h,
    ip: a,
    zone: z,
    incarnation: i,
    sequence: n,
    sentAtMs: isNumber(m) ? m : undefined,
    echo: decodeEcho(r),
    leaving: b === 1,
    storeReachable: s === 1,
    feedUpdate: update,
    targetReports: decodeReports(l),
    statements: decodeStatements(x),
    used: decodeNumbers(u),
    levels: q === undefined ? undefined : decodeNumbers(q),
    crashReport: k === undefined ? emptyReport : decodeCrashReport(k),
    evidence: decodeEvidence(e),
    phases: decodePhases(p),
    ...(isRecord(v) ? {sections: v} : {}),
    ...(isRecord(w) ? {directedSections: w} : {}),
  };
}

/** Whether a value is a number that is exact as an integer, so that sums with it stay finite. */
function isNumber(value: unknown): value is number {
  return isNumberWithin(
    value,
    Number.MAX_SAFE_INTEGER,
    Number.MIN_SAFE_INTEGER,
  );
}

/** Limits an age to what an update can state. */
function limitAgeMs(ms: number): number {
  return Math.min(Math.max(0, ms), maxAgeMs);
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}

function entriesOf(value: unknown): [string, unknown][] {
  return isRecord(value) ? Object.entries(value) : [];
}

function decodeNumbers(value: unknown): Record<string, number> {
  return Object.fromEntries(
    entriesOf(value).filter((entry): entry is [string, number] =>
      isNumber(entry[1]),
    ),
  );
}

function decodeEcho(value: unknown): Echo | undefined {
  if (!Array.isArray(value)) return undefined;
  const [incarnation, sentAtMs, heldMs] = value as unknown[];
  if (!isNumber(incarnation) || !isNumber(sentAtMs)) return undefined;
  if (!isNumberWithin(heldMs, maxDurationMs)) return undefined;
  return {incarnation, sentAtMs, heldMs};
}

function decodeFeedUpdate(
  o: unknown,
  t: unknown,
  c: unknown,
  d: unknown,
): FeedUpdate | undefined {
  if (!Array.isArray(o) || !Array.isArray(t)) return undefined;
  const [orders, ordersAgeMs, ordersReadAtMs, configuration] = o as unknown[];
  const [targets, targetsAgeMs, digest, targetsReadAtMs] = t as unknown[];
  if (!isNumber(orders) || !isNumber(ordersAgeMs)) return undefined;
  if (!isNumber(targets) || !isNumber(targetsAgeMs) || !isNumber(digest)) {
    return undefined;
  }
  const rows = Array.isArray(c) ? (c as unknown[]) : [];
  const changes = rows.flatMap(row => decodeChange(row) ?? []);
  const times = Array.isArray(d) ? (d as unknown[]) : [];
  return {
    orders,
    ordersAgeMs: limitAgeMs(ordersAgeMs),
    ordersReadAtMs: isNumber(ordersReadAtMs) ? ordersReadAtMs : 0,
    configuration: isNumber(configuration) ? configuration : 0,
    targets,
    targetsAgeMs: limitAgeMs(targetsAgeMs),
    targetsReadAtMs: isNumber(targetsReadAtMs) ? targetsReadAtMs : 0,
    digest,
    changes,
    coldTimes: times.flatMap(row => decodeColdTime(row) ?? []),
  };
}

function decodeColdTime(row: unknown): ColdTime | undefined {
  if (!Array.isArray(row)) return undefined;
  const [id, bornMs, coldMs] = row as unknown[];
  if (typeof id !== 'string' || !isTargetId(id)) return undefined;
  if (!isNumberWithin(bornMs, Number.MAX_SAFE_INTEGER)) return undefined;
  if (!isNumberWithin(coldMs, maxStatedMs)) return undefined;
  return {id, bornMs, coldMs};
}

function decodeChange(row: unknown): TargetUpdate | undefined {
  if (!Array.isArray(row)) return undefined;
  const [offset, id, keepMs, service, address, zone, version, ...numbers] =
    row as unknown[];
  if (!isNumber(offset) || typeof id !== 'string') return undefined;
  if (!isNumberWithin(keepMs, maxDurationMs)) return undefined;
  if (row.length === 3) return {offset, id, keepMs};
  const [slots, draining, coldMs, bornMs] = numbers;
  if (
    typeof service !== 'string' ||
    typeof address !== 'string' ||
    typeof zone !== 'string' ||
    typeof version !== 'string' ||
    !isNumberWithin(slots, maxCount) ||
    !isNumberWithin(coldMs, maxStatedMs) ||
    !isNumberWithin(bornMs, Number.MAX_SAFE_INTEGER)
  ) {
    return undefined;
  }
  if (!isTargetId(id) || !isTargetAddress(address)) return undefined;
  const entry = {
    id,
    service,
    address,
    zone,
    version,
    slots,
    draining: draining === 1,
    coldMs,
    bornMs,
  };
  return {offset, id, keepMs, entry};
}

function decodeReports(value: unknown): Record<string, TargetReport> {
  const reports: Record<string, TargetReport> = {};
  for (const [id, row] of entriesOf(value)) {
    if (!Array.isArray(row)) continue;
    const [load, pendingPromptTokens, tokenMs] = row as unknown[];
    if (
      isNumberWithin(load, maxCount) &&
      isNumberWithin(pendingPromptTokens, maxCount) &&
      isNumberWithin(tokenMs, maxDurationMs)
    ) {
      reports[id] = {load, pendingPromptTokens, tokenMs};
    }
  }
  return reports;
}

function decodeEvidence(value: unknown): Map<string, Evidence> {
  const evidence = new Map<string, Evidence>();
  for (const [service, rows] of entriesOf(value)) {
    if (!Array.isArray(rows)) continue;
    const cells: Record<string, EvidenceCell> = {};
    for (const row of rows as unknown[]) {
      if (!Array.isArray(row)) continue;
      const [name, requests, failures, logLatencySum] = row as unknown[];
      if (
        typeof name === 'string' &&
        isNumberWithin(requests, maxCount) &&
        isNumberWithin(failures, maxCount) &&
        isNumberWithin(logLatencySum, maxCount)
      ) {
        cells[name] = {requests, failures, logLatencySum};
      }
    }
    evidence.set(service, cells);
  }
  return evidence;
}

function decodePhases(value: unknown): GossipMessage['phases'] {
  const known = Object.values(canaryPhases) as string[];
  const phases = new Map<string, {orderOffset: number; phase: CanaryPhase}>();
  for (const [service, pair] of entriesOf(value)) {
    if (!Array.isArray(pair)) continue;
    const [orderOffset, phase] = pair as unknown[];
    if (!isNumber(orderOffset) || typeof phase !== 'string') continue;
    if (known.includes(phase)) {
      phases.set(service, {orderOffset, phase: phase as CanaryPhase});
    }
  }
  return phases;
}
