import {every, type Cancel, type Clock} from '../../process/clock.js';
import type {Receiver} from '../../process/membership/effects.js';
import type {PeerTransport} from '../../process/membership/peer-transport.js';
import {subscribe} from '../../process/subject.js';
import {
  maxCrashes,
  type CrashEvidence,
} from '../../process/crashes/crash-evidence.js';
import type {
  CrashEvidenceExport,
  CrashRecord,
} from '../../process/crashes/crash-record.js';
import {loadProtoMessage} from './proto.js';

const topic = 'crash-evidence';
const intervalMs = 1000;
/** Entries of one message; about 1 KB with 64 bytes for fingerprint and target. */
const maxEntries = 12;
/** Entries that are looked at for each link; further ones wait until these were sent. */
const maxConsidered = 500;
/** Entries are sent again after this time, in case a message was lost, in milliseconds. */
const resendMs = 30_000;
/** Greatest difference between the clocks of two hosts, in milliseconds. */
const maxSkewMs = 60_000;
const maxNameLength = 256;

interface Entry {
  readonly id: string;
  readonly record?: CrashRecord;
  readonly cleared?: {readonly fingerprint: string; readonly atMs: number};
}

interface Neighbour {
  readonly known: Set<string>;
  sinceMs: number;
}

const type = loadProtoMessage<CrashEvidenceExport>(
  'peer-services.proto',
  'guavaseam.CrashEvidence',
);

/** What {@link CrashGossip} uses. */
export interface CrashGossipParts {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  /** Members to which this host keeps links. */
  readonly neighbours: () => readonly Receiver[];
}

/**
 * Exchanges crash evidence with the linked hosts, which pass it on. An entry takes at most 1 s for
 * each hop, plus 1 s for every 12 entries that are sent before it. Fingerprints that are refused
 * and those with few suspects go first.
 */
export class CrashGossip {
  private readonly sent = new Map<string, Neighbour>();
  private cancels: Cancel[] = [];

  /**
   * @param evidence - Evidence of this host.
   * @param parts - Links and clock.
   */
  constructor(
    private readonly evidence: CrashEvidence,
    private readonly parts: CrashGossipParts,
  ) {}

  /** Starts to send and to merge. */
  start(): void {
    const {clock, transport} = this.parts;
    this.cancels = [
      subscribe(transport.messages, ({from, message: {gossip}}) => {
        if (gossip?.topic === topic) this.receive(from.id, gossip.data);
      }),
      every(clock, intervalMs, () => this.exchange()),
    ];
  }

  /** Stops. */
  stop(): void {
    for (const cancel of this.cancels) cancel();
  }

  private receive(from: string, bytes: Uint8Array): void {
    const evidence = decodeEvidence(bytes);
    const newestMs = this.parts.clock.wallMs() + maxSkewMs;
    const isValid = ({atMs}: {atMs: number}) => atMs <= newestMs;
    const records = evidence.records.filter(isValid);
    const cleared = evidence.cleared.filter(isValid);
    this.evidence.merge({records, cleared});
    // The sender has them already.
    const known = this.sent.get(from)?.known;
    for (const {id} of toEntries({records, cleared})) known?.add(id);
  }

  private exchange(): void {
    const {clock, transport, neighbours} = this.parts;
    const linked = neighbours();
    for (const id of this.sent.keys()) {
      if (!linked.some(to => to.id === id)) this.sent.delete(id);
    }
    const entries = toEntries(this.evidence.export(clock.wallMs()));
    const current = entries.slice(0, maxConsidered);
    for (const to of linked) {
      const unsent = this.unsent(to.id, current);
      if (unsent.length === 0) continue;
      const data = encodeEvidence({
        records: unsent.flatMap(({record}) => record ?? []),
        cleared: unsent.flatMap(({cleared}) => cleared ?? []),
      });
      transport.send(to, {gossip: {topic, data}});
    }
  }

  private unsent(to: string, entries: readonly Entry[]): Entry[] {
    const nowMs = this.parts.clock.nowMs();
    let state = this.sent.get(to);
    if (!state || nowMs - state.sinceMs > resendMs) {
      state = {known: new Set(), sinceMs: nowMs};
      this.sent.set(to, state);
    }
    const {known} = state;
    const page = entries.filter(({id}) => !known.has(id)).slice(0, maxEntries);
    for (const {id} of page) known.add(id);
    return page;
  }
}

/** Lists entries, the most urgent first. */
function toEntries({records, cleared}: CrashEvidenceExport): Entry[] {
  const crashes = new Map<string, number>();
  for (const {fingerprint} of records) {
    crashes.set(fingerprint, (crashes.get(fingerprint) ?? 0) + 1);
  }
  const isRefused = ({fingerprint}: CrashRecord) =>
    (crashes.get(fingerprint) ?? 0) >= maxCrashes;
  const sorted = [...records].sort(
    (a, b) =>
      Number(isRefused(b)) - Number(isRefused(a)) || a.suspects - b.suspects,
  );
  return [
    ...sorted.map(record => ({
      id: `${record.fingerprint}\n${record.target}\n${record.atMs}`,
      record,
    })),
    ...cleared.map(entry => ({
      id: `${entry.fingerprint}\n\n${entry.atMs}`,
      cleared: entry,
    })),
  ];
}

function encodeEvidence(evidence: CrashEvidenceExport): Buffer {
  return type.serialize(evidence);
}

/** Malformed bytes are no evidence. */
function decodeEvidence(bytes: Uint8Array): CrashEvidenceExport {
  let message: CrashEvidenceExport;
  try {
    message = type.deserialize(Buffer.from(bytes));
  } catch {
    return {records: [], cleared: []};
  }
  const isValid = (entry: {fingerprint: string; atMs: number}) =>
    entry.fingerprint.length > 0 &&
    entry.fingerprint.length <= maxNameLength &&
    Number.isFinite(entry.atMs);
  const records = message.records.filter(
    record => isValid(record) && record.target.length <= maxNameLength,
  );
  return {records, cleared: message.cleared.filter(isValid)};
}
