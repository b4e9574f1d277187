import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {every, type Cancel, type Clock} from '../../process/clock.js';
import type {Receiver} from '../../process/membership/effects.js';
import type {PeerTransport} from '../../process/membership/peer-transport.js';
import {subscribe} from '../../process/subject.js';
import {
  bucketMs,
  retainedBuckets,
  type EvidenceStore,
  type ExportedCell,
  type StopVerdict,
  type TargetStart,
} from '../../version/evidence/evidence-store.js';
import type {
  InFlightCounts,
  InFlightTable,
} from '../../version/evidence/in-flight-table.js';

const topic = 'evidence';
const intervalMs = 1000;
/** Buckets of this host that may still change or were closed lately. */
const exportedBuckets = 2;
/** Greatest size of a message before compression, in bytes. */
const maxMessageBytes = 4096;
/** Greatest size of a received message after decompression, in bytes. */
const maxInflatedBytes = 64 * 1024;
/** Exchanges after which stops are sent again, in case a message was lost. */
const stopResend = 10;
/** Greatest number of kept items. */
const maxItems = 8192;

/** One fact that hosts pass on: kind, origin, key, rank among facts of this key, content. */
type Item =
  | readonly ['cell', string, string, number, Omit<ExportedCell, 'key'>]
  | readonly ['flights', string, '', number, InFlightCounts]
  | readonly ['start', string, string, number, TargetStart]
  | readonly ['stop', string, string, number, StopVerdict];

interface Stored {
  readonly item: Item;
  readonly atMs: number;
  /** Rises with each change of any item, for the deltas. */
  readonly change: number;
  /** Host from which the change came; empty if it is of this host. */
  readonly from: string;
}

/** What {@link EvidenceGossip} uses. */
export interface EvidenceGossipParts {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  /** Members to which this host keeps links. */
  readonly neighbours: () => readonly Receiver[];
  readonly store: EvidenceStore;
  readonly inFlight: InFlightTable;
  /** Services with a rollout; only their evidence is exchanged. */
  readonly services: () => ReadonlySet<string>;
  /** Called with the size of each message that is sent, in bytes. */
  readonly onSent?: (bytes: number) => void;
}

/**
 * Passes the evidence of all hosts on to the linked hosts: each second the changes that a host was
 * not yet sent, the stops first, then the oldest change first, at most one message for each link.
 */
export class EvidenceGossip {
  private readonly items = new Map<string, Stored>();
  private readonly sent = new Map<string, number>();
  private change = 0;
  private exchanges = 0;
  private cancels: Cancel[] = [];

  /** @param parts - Links, counters and clock. */
  constructor(private readonly parts: EvidenceGossipParts) {}

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

  private exchange(): void {
    const {transport, neighbours, onSent} = this.parts;
    this.exchanges++;
    this.expire();
    this.collect();
    if (this.exchanges % stopResend === 0) this.resendStops();
    const linked = neighbours();
    for (const id of this.sent.keys()) {
      if (!linked.some(to => to.id === id)) this.sent.delete(id);
    }
    for (const to of linked) {
      const page = this.delta(to.id);
      if (page.length === 0) continue;
      const data = encodeItems(page);
      onSent?.(data.length);
      transport.send(to, {gossip: {topic, data}});
    }
  }

  /** Takes the changes of this host's own counters. */
  private collect(): void {
    const {clock, inFlight, services, store} = this.parts;
    const wanted = services();
    const current = Math.floor(clock.wallMs() / bucketMs);
    const {origin, cells, starts, stops} = store.export(
      current - exportedBuckets,
    );
    for (const [key, stop] of stops)
      this.put(['stop', origin, key, 1, stop], '');
    if (wanted.size === 0) return;
    for (const {key, ...cell} of cells) {
      if (!wanted.has((JSON.parse(key) as string[])[0])) continue;
      this.put(['cell', origin, key, cell.requests, cell], '');
    }
    for (const [key, start] of starts)
      this.put(['start', origin, key, start.epoch + 1, start], '');
    const flights = inFlight.list(wanted);
    this.put(['flights', origin, '', this.exchanges, flights], '');
  }

  private receive(from: string, data: Uint8Array): void {
    const {clock, inFlight, store} = this.parts;
    const oldest = Math.floor(clock.wallMs() / bucketMs) - retainedBuckets;
    for (const item of decodeItems(data)) {
      const [kind, origin, key] = item;
      if (origin === store.origin) continue;
      if (kind === 'cell' && bucketOf(key) < oldest) continue;
      if (!this.put(item, from)) continue;
      const none = {origin, cells: [], starts: [], stops: []};
      if (kind === 'cell') store.merge({...none, cells: [{key, ...item[4]}]});
      else if (kind === 'start')
        store.merge({...none, starts: [[key, item[4]]]});
      else if (kind === 'stop') store.merge({...none, stops: [[key, item[4]]]});
      else inFlight.merge(origin, item[4], clock.nowMs());
    }
  }

  /** Keeps an item; false if the same or a newer one is known. */
  private put(item: Item, from: string): boolean {
    const [kind, origin, key, rank] = item;
    // All hosts state the same stop, so one of them is enough.
    const id = `${kind}\n${kind === 'stop' ? '' : origin}\n${key}`;
    const known = this.items.get(id);
    if (known && known.item[3] >= rank) return false;
    if (!known && kind !== 'stop' && this.items.size >= maxItems) return false;
    const change = ++this.change;
    this.items.set(id, {item, atMs: this.parts.clock.nowMs(), change, from});
    return true;
  }

  private delta(to: string): Item[] {
    const last = this.sent.get(to) ?? 0;
    const changed = [...this.items.values()]
      .filter(({change, from}) => change > last && from !== to)
      .sort((a, b) => a.change - b.change);
    const page: Item[] = [];
    let bytes = 0;
    let reached = this.change;
    for (const {item, change} of changed) {
      bytes += JSON.stringify(item).length + 1;
      if (bytes > maxMessageBytes && page.length > 0) {
        reached = change - 1;
        break;
      }
      page.push(item);
    }
    this.sent.set(to, reached);
    // A stop behind a full page would wait for a second or more.
    const waiting = changed.slice(page.length).map(({item}) => item);
    return [...page, ...waiting.filter(([kind]) => kind === 'stop')];
  }

  private resendStops(): void {
    for (const [id, stored] of this.items) {
      if (stored.item[0] !== 'stop') continue;
      this.items.set(id, {...stored, change: ++this.change, from: ''});
    }
  }

  private expire(): void {
    const nowMs = this.parts.clock.nowMs();
    for (const [id, {item, atMs}] of this.items) {
      if (item[0] !== 'stop' && nowMs - atMs > retainedBuckets * bucketMs)
        this.items.delete(id);
    }
  }
}

function bucketOf(key: string): number {
  try {
    return Number((JSON.parse(key) as unknown[])[4]);
  } catch {
    return -Infinity;
  }
}

function encodeItems(items: readonly Item[]): Buffer {
  return deflateRawSync(JSON.stringify(items));
}

/** Malformed messages are dropped; the sender's next change is heard again. */
function decodeItems(data: Uint8Array): readonly Item[] {
  try {
    const text = inflateRawSync(data, {maxOutputLength: maxInflatedBytes});
    const value = JSON.parse(text.toString()) as unknown;
    if (!Array.isArray(value)) return [];
    return value.filter(
      (item): item is Item =>
        Array.isArray(item) &&
        item.length === 5 &&
        ['cell', 'flights', 'start', 'stop'].includes(item[0] as string) &&
        typeof item[1] === 'string' &&
        typeof item[2] === 'string' &&
        Number.isSafeInteger(item[3]) &&
        typeof item[4] === 'object' &&
        item[4] !== null,
    );
  } catch {
    return [];
  }
}
