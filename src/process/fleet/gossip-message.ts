import type {
  Evidence,
  EvidenceCell,
} from '../../version/deployment/trial-judge.js';
import {
  trialPhases,
  type TrialPhase,
} from '../../version/deployment/trial-gate.js';

/** What a host tells of one target. */
export interface TargetReport {
  /** Requests of the host at the target. */
  readonly load: number;
  /** Prompt tokens of those that have no first event yet. */
  readonly prompts: number;
  /** Time for one generated token as the host measured it, in milliseconds; 0 if it has not. */
  readonly tokenMs: number;
}

/** What a host tells the others, several times a second. */
export interface GossipMessage {
  readonly host: string;
  readonly ip: string;
  readonly zone: string;
  /** Start of the host in Unix milliseconds. */
  readonly incarnation: number;
  /** Grows with each message of an incarnation. */
  readonly sequence: number;
  /** Whether the host is about to stop for good. */
  readonly leaving: boolean;
  /** Whether the host reaches the store. */
  readonly storeAnswers: boolean;
  /** Offset up to which the host has read orders; -1 if it has not. */
  readonly orders: number;
  /** Offset of the newest record that changed a target. */
  readonly targets: number;
  /** Reports by target. */
  readonly targetReports: Readonly<Record<string, TargetReport>>;
  /** Units that the host used since its start, by organisation. */
  readonly used: Readonly<Record<string, number>>;
  /** Evidence by service, for services under rollout. */
  readonly evidence: ReadonlyMap<string, Evidence>;
  /** What the host does with services under rollout, by service. */
  readonly phases: ReadonlyMap<
    string,
    {orderOffset: number; phase: TrialPhase}
  >;
}

/**
 * Encodes a message. Short keys keep it within one datagram.
 *
 * @param message - Message to send.
 */
export function encodeGossip(message: GossipMessage): Buffer {
  const evidence: Record<string, unknown> = {};
  for (const [service, cells] of message.evidence) {
    evidence[service] = Object.entries(cells).map(([name, cell]) => [
      name,
      cell.requests,
      cell.failures,
      Math.round(cell.logFirst * 100) / 100,
    ]);
  }
  const phases: Record<string, unknown> = {};
  for (const [service, {orderOffset, phase}] of message.phases) {
    phases[service] = [orderOffset, phase];
  }
  const reports: Record<string, number[]> = {};
  for (const [id, {load, prompts, tokenMs}] of Object.entries(
    message.targetReports,
  )) {
    reports[id] = [load, prompts, Math.round(tokenMs * 100) / 100];
  }
  return Buffer.from(
    JSON.stringify({
      h: message.host,
      a: message.ip,
      z: message.zone,
      i: message.incarnation,
      n: message.sequence,
      b: message.leaving ? 1 : 0,
      s: message.storeAnswers ? 1 : 0,
      o: message.orders,
      t: message.targets,
      l: reports,
      u: message.used,
      e: message.evidence.size > 0 ? evidence : undefined,
      p: message.phases.size > 0 ? phases : undefined,
    }),
  );
}

/**
 * Decodes a message.
 *
 * @param datagram - Datagram as received.
 * @returns The message, or `undefined` if it is none.
 */
export function decodeGossip(datagram: Buffer): GossipMessage | undefined {
  let value: unknown;
  try {
    value = JSON.parse(datagram.toString('utf8'));
  } catch {
    return undefined;
  }
  if (typeof value !== 'object' || value === null) return undefined;
  const {h, a, z, i, n, b, s, o, t, l, u, e, p} = value as Record<
    string,
    unknown
  >;
  if (typeof h !== 'string' || typeof a !== 'string' || typeof z !== 'string') {
    return undefined;
  }
  if (!isNumber(i) || !isNumber(n) || !isNumber(o) || !isNumber(t)) {
    return undefined;
  }
  return {
    host: h,
    ip: a,
    zone: z,
    incarnation: i,
    sequence: n,
    leaving: b === 1,
    storeAnswers: s === 1,
    orders: o,
    targets: t,
    targetReports: reportsOf(l),
    used: numbersOf(u),
    evidence: evidenceOf(e),
    phases: phasesOf(p),
  };
}

function isNumber(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value);
}

function entriesOf(value: unknown): [string, unknown][] {
  return typeof value === 'object' && value !== null
    ? Object.entries(value)
    : [];
}

function numbersOf(value: unknown): Record<string, number> {
  return Object.fromEntries(
    entriesOf(value).filter((entry): entry is [string, number] =>
      isNumber(entry[1]),
    ),
  );
}

function reportsOf(value: unknown): Record<string, TargetReport> {
  const reports: Record<string, TargetReport> = {};
  for (const [id, row] of entriesOf(value)) {
    if (!Array.isArray(row)) continue;
    const [load, prompts, tokenMs] = row as unknown[];
    if (isNumber(load) && isNumber(prompts) && isNumber(tokenMs)) {
      reports[id] = {load, prompts, tokenMs};
    }
  }
  return reports;
}

function evidenceOf(value: unknown): Map<string, Evidence> {
  const evidence = new Map<string, Evidence>();
  for (const [service, rows] of entriesOf(value)) {
    if (!Array.isArray(rows)) continue;
    const cells: Record<string, EvidenceCell> = {};
    for (const row of rows as unknown[]) {
      if (!Array.isArray(row)) continue;
      const [name, requests, failures, logFirst] = row as unknown[];
      if (
        typeof name === 'string' &&
        isNumber(requests) &&
        isNumber(failures) &&
        isNumber(logFirst)
      ) {
        cells[name] = {requests, failures, logFirst};
      }
    }
    evidence.set(service, cells);
  }
  return evidence;
}

function phasesOf(value: unknown): GossipMessage['phases'] {
  const known = Object.values(trialPhases) as string[];
  const phases = new Map<string, {orderOffset: number; phase: TrialPhase}>();
  for (const [service, pair] of entriesOf(value)) {
    if (!Array.isArray(pair)) continue;
    const [orderOffset, phase] = pair as unknown[];
    if (!isNumber(orderOffset) || typeof phase !== 'string') continue;
    if (known.includes(phase)) {
      phases.set(service, {orderOffset, phase: phase as TrialPhase});
    }
  }
  return phases;
}
