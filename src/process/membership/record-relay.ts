import type {LogRecord} from '../../connection/platform/log-client.js';
import type {RecordSink, RecordSource} from '../../version/record-relay.js';
import {every, type Cancel, type Clock} from '../clock.js';
import type {MemberView} from '../member-view.js';
import type {Metrics} from '../metrics.js';
import {rankHosts} from '../ownership.js';
import {subscribe} from '../subject.js';
import {Task} from '../task.js';
import type {MembershipTask} from './membership-task.js';
import type {LinkMessage, PeerIdentity, StreamOffset} from './messages.js';
import type {PeerTransport} from './peer-transport.js';

/** Greatest size of a page of records, in bytes; half the bound of a message. */
const pageBytes = 64 * 1024;
/** Time after which another host is asked, in milliseconds. */
const answerMs = 1000;
const tickMs = 250;
/** Hosts of each zone that read the log all the time; the second one covers for the first. */
const readersPerZone = 2;
/** Other hosts read the log after they heard nothing newer for this long, in milliseconds. */
const quietMs = 5000;

/** Messages to the record relay. */
export type RelayMessage =
  | {readonly kind: 'tick'}
  /** The source has got further. */
  | {readonly kind: 'advanced'}
  | {
      readonly kind: 'announced';
      readonly from: PeerIdentity;
      readonly offsets: readonly StreamOffset[];
    }
  | {
      readonly kind: 'received';
      readonly from: PeerIdentity;
      readonly message: LinkMessage;
    };

/** What the relay uses. */
export interface RelayParts {
  readonly clock: Clock;
  readonly membership: MembershipTask;
  readonly transport: PeerTransport;
  readonly metrics: Metrics;
  readonly source: RecordSource;
  readonly sink: RecordSink;
  /** Names of the followed streams. */
  readonly streams: readonly string[];
}

interface StreamState {
  /** Newest offset that each host announced, dropped when this host has it. */
  readonly ahead: Map<string, {readonly from: PeerIdentity; next: number}>;
  /** Host that is asked, and since when. */
  asked?: {readonly id: string; readonly atMs: number};
  announced: number;
  /** Whether another host announced anything at all. */
  heard: boolean;
  newerAtMs: number;
  readAtMs: number;
}

/**
 * Passes log records on between hosts, so that one host with a path to the log serves its zone and
 * its neighbours.
 */
export class RecordRelay extends Task<RelayMessage> {
  private readonly states = new Map<string, StreamState>();
  private readonly relayed;
  private cancels: Cancel[] = [];

  /**
   * @param parts - Membership, links, source and sink.
   */
  constructor(private readonly parts: RelayParts) {
    super();
    for (const stream of parts.streams) {
      this.states.set(stream, {
        ahead: new Map(),
        announced: -1,
        heard: false,
        newerAtMs: -Infinity,
        readAtMs: -Infinity,
      });
    }
    this.relayed = parts.metrics.counter(
      'guavaseam_relayed_records_total',
      'Log records received from other hosts, by stream',
      ['stream'],
    );
  }

  /** Starts to announce, to ask and to answer. */
  start(): void {
    const {clock, membership, transport} = this.parts;
    this.cancels = [
      subscribe(membership.offsets, ({from, offsets}) =>
        this.post({kind: 'announced', from, offsets}),
      ),
      subscribe(transport.messages, ({from, message}) => {
        if (!message.records && !message.recordsWanted) return;
        this.post({kind: 'received', from, message});
      }),
      every(clock, tickMs, () => this.post({kind: 'tick'})),
    ];
    this.post({kind: 'advanced'});
  }

  /** Stops. */
  stop(): void {
    for (const cancel of this.cancels) cancel();
  }

  /**
   * Tells whether a stream is relayed.
   *
   * @param stream - Name of the stream.
   * @returns False if every host reads it from the log.
   */
  isRelayed(stream: string): boolean {
    return this.states.has(stream);
  }

  /**
   * Tells whether this host is to read the log now: always on a few hosts of each zone, on the
   * others after they heard nothing newer for some time.
   *
   * @param stream - Name of the stream; streams that are not relayed are always read.
   * @returns True if the log is to be read.
   */
  shouldRead(stream: string): boolean {
    const state = this.states.get(stream);
    if (!state || this.isReader(stream)) return true;
    const nowMs = this.parts.clock.nowMs();
    const lastMs = Math.max(state.newerAtMs, state.readAtMs);
    return nowMs - lastMs >= quietMs;
  }

  /**
   * Tells whether this host reads a stream all the time.
   *
   * @param stream - Name of the stream.
   * @returns True if it is one of the readers of its zone.
   */
  isReader(stream: string): boolean {
    const view: MemberView = this.parts.membership.view;
    const {id, zone} = view.self;
    const hosts = view.live(zone).map(member => member.id);
    return rankHosts(`read/${stream}`, hosts)
      .slice(0, readersPerZone)
      .includes(id);
  }

  /**
   * Notes that the log was asked.
   *
   * @param stream - Name of the stream.
   */
  markRead(stream: string): void {
    const state = this.states.get(stream);
    if (state) state.readAtMs = this.parts.clock.nowMs();
  }

  /**
   * Tells whether this host has all records that other hosts announced.
   *
   * @param stream - Name of the stream.
   * @returns False also if no host announced anything, because then nothing is known.
   */
  hasCaughtUp(stream: string): boolean {
    const state = this.states.get(stream);
    if (!state?.heard) return false;
    this.dropReached(stream, state);
    return state.ahead.size === 0 && this.parts.source.nextOffset(stream) > 0;
  }

  protected override *run(): Generator<undefined, void, RelayMessage> {
    for (;;) {
      const message = yield;
      switch (message.kind) {
        case 'tick':
          for (const [stream, state] of this.states) this.ask(stream, state);
          break;
        case 'advanced':
          this.announce();
          break;
        case 'announced':
          this.hear(message.from, message.offsets);
          break;
        case 'received':
          this.receive(message.from, message.message);
      }
    }
  }

  private announce(): void {
    const offsets: StreamOffset[] = [];
    let changed = false;
    for (const [stream, state] of this.states) {
      const next = this.parts.source.nextOffset(stream);
      changed ||= next !== state.announced;
      state.announced = next;
      offsets.push({stream, next});
    }
    if (changed) this.parts.membership.post({kind: 'announce', offsets});
  }

  private hear(from: PeerIdentity, offsets: readonly StreamOffset[]): void {
    for (const {stream, next} of offsets) {
      const state = this.states.get(stream);
      if (!state) continue;
      state.heard = true;
      if (next <= this.parts.source.nextOffset(stream)) continue;
      state.newerAtMs = this.parts.clock.nowMs();
      state.ahead.set(from.id, {from, next});
      this.ask(stream, state);
    }
  }

  private receive(from: PeerIdentity, message: LinkMessage): void {
    const {source, sink, transport} = this.parts;
    if (message.recordsWanted) {
      const {stream, from: first} = message.recordsWanted;
      if (!this.states.has(stream)) return;
      const records = source
        .recordsFrom(stream, first, pageBytes)
        .map(({offset, data}) => {
          return {offset, data: Buffer.from(JSON.stringify(data))};
        });
      // An empty page tells the other host to ask elsewhere.
      return transport.send(from, {records: {stream, records}});
    }
    const {stream = '', records = []} = message.records ?? {};
    const state = this.states.get(stream);
    if (!state) return;
    if (state.asked?.id === from.id) state.asked = undefined;
    const before = source.nextOffset(stream);
    const parsed = parseRecords(records, before);
    if (parsed.length > 0) sink.accept(stream, parsed);
    const gained = source.nextOffset(stream) - before;
    if (gained > 0) this.relayed.inc({stream}, gained);
    else state.ahead.delete(from.id);
    this.announce();
    this.ask(stream, state);
  }

  private dropReached(stream: string, state: StreamState): void {
    const own = this.parts.source.nextOffset(stream);
    for (const [id, {next}] of state.ahead) {
      if (next <= own) state.ahead.delete(id);
    }
  }

  /** Asks one host at a time, the one in the same zone first. */
  private ask(stream: string, state: StreamState): void {
    const {clock, membership, source, transport} = this.parts;
    this.dropReached(stream, state);
    const nowMs = clock.nowMs();
    if (state.asked && nowMs - state.asked.atMs < answerMs) return;
    if (state.asked) state.ahead.delete(state.asked.id);
    state.asked = undefined;
    const {zone} = membership.view.self;
    const choices = [...state.ahead.values()];
    const best = choices.find(c => c.from.zone === zone) ?? choices[0];
    if (!best) return;
    state.asked = {id: best.from.id, atMs: nowMs};
    const from = source.nextOffset(stream);
    transport.send(best.from, {recordsWanted: {stream, from}});
  }
}

/** Parses the records from an offset on and stops at a gap or at a record that is no JSON. */
function parseRecords(
  records: readonly {readonly offset: number; readonly data: Uint8Array}[],
  from: number,
): LogRecord[] {
  const parsed: LogRecord[] = [];
  for (const {offset, data} of records) {
    if (offset !== from + parsed.length) {
      if (offset < from) continue;
      break;
    }
    try {
      parsed.push({offset, data: JSON.parse(Buffer.from(data).toString())});
    } catch {
      break;
    }
  }
  return parsed;
}
