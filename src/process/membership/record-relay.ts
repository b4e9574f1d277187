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

/** Maximum size of a page of records, in bytes; half the size limit of a message. */
const maxPageBytes = 64 * 1024;
/** Time after which records are requested from another host, in milliseconds. */
const responseTimeoutMs = 1000;
const tickMs = 250;
/** Hosts of each zone that read the log permanently; the second covers a failure of the first. */
const readersPerZone = 2;
/** Time without a newer announced offset after which other hosts read the log, in milliseconds. */
const readAfterIdleMs = 5000;

/** Messages to the record relay. */
export type RelayMessage =
  | {readonly kind: 'tick'}
  /** The next offset of the source may have changed. */
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

/** Dependencies of a {@link RecordRelay}. */
export interface RelayParts {
  readonly clock: Clock;
  readonly membership: MembershipTask;
  readonly transport: PeerTransport;
  readonly metrics: Metrics;
  readonly source: RecordSource;
  readonly sink: RecordSink;
  /** Names of the relayed streams. */
  readonly streams: readonly string[];
}

interface StreamState {
  /** Latest offset that each host announced, removed once this host has reached it. */
  readonly ahead: Map<string, {readonly from: PeerIdentity; next: number}>;
  /** Host from which records are requested, and the time of the request. */
  requested?: {readonly id: string; readonly atMs: number};
  /** Next offset that this host last announced; -1 before the first announcement. */
  announced: number;
  /** Whether any other host has announced an offset. */
  heard: boolean;
  /** When another host last announced an offset beyond that of this host. */
  newerAtMs: number;
  /** When this host last read the log. */
  readAtMs: number;
}

/**
 * Relays log records between hosts, so that one host with a path to the log serves its zone and its
 * neighbours.
 */
export class RecordRelay extends Task<RelayMessage> {
  private readonly states = new Map<string, StreamState>();
  private readonly relayed;
  private cancels: Cancel[] = [];

  /**
   * @param parts - Membership, links, and the source and sink of the records.
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

  /** Starts to announce offsets, and to request and serve records. */
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

  /** Stops all announcements, requests and responses. */
  stop(): void {
    for (const cancel of this.cancels) cancel();
  }

  /**
   * Checks whether a stream is relayed.
   *
   * @param stream - Name of the stream.
   * @returns False if every host reads it from the log.
   */
  isRelayed(stream: string): boolean {
    return this.states.has(stream);
  }

  /**
   * Decides whether this host reads the log now: always on the permanent readers of each zone, on
   * the other hosts after some time without a newer announced offset.
   *
   * @param stream - Name of the stream; streams that are not relayed are always read.
   * @returns True if this host should read the log.
   */
  shouldRead(stream: string): boolean {
    const state = this.states.get(stream);
    if (!state || this.isReader(stream)) return true;
    const nowMs = this.parts.clock.nowMs();
    const lastMs = Math.max(state.newerAtMs, state.readAtMs);
    return nowMs - lastMs >= readAfterIdleMs;
  }

  /**
   * Checks whether this host reads a stream permanently.
   *
   * @param stream - Name of the stream.
   * @returns True if it is one of the permanent readers of its zone.
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
   * Records the time of a read of the log.
   *
   * @param stream - Name of the stream.
   */
  markRead(stream: string): void {
    const state = this.states.get(stream);
    if (state) state.readAtMs = this.parts.clock.nowMs();
  }

  /**
   * Checks whether this host has all records that other hosts announced.
   *
   * @param stream - Name of the stream.
   * @returns True if so; false if no host has announced an offset yet.
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
          for (const [stream, state] of this.states)
            this.requestRecords(stream, state);
          break;
        case 'advanced':
          this.announce();
          break;
        case 'announced':
          this.handleAnnouncement(message.from, message.offsets);
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

  private handleAnnouncement(
    from: PeerIdentity,
    offsets: readonly StreamOffset[],
  ): void {
    for (const {stream, next} of offsets) {
      const state = this.states.get(stream);
      if (!state) continue;
      state.heard = true;
      if (next <= this.parts.source.nextOffset(stream)) continue;
      state.newerAtMs = this.parts.clock.nowMs();
      state.ahead.set(from.id, {from, next});
      this.requestRecords(stream, state);
    }
  }

  private receive(from: PeerIdentity, message: LinkMessage): void {
    const {source, sink, transport} = this.parts;
    if (message.recordsWanted) {
      const {stream, from: first} = message.recordsWanted;
      if (!this.states.has(stream)) return;
      const records = source
        .recordsFrom(stream, first, maxPageBytes)
        .map(({offset, data}) => {
          return {offset, data: Buffer.from(JSON.stringify(data))};
        });
      // An empty page makes the requesting host turn to another host.
      return transport.send(from, {records: {stream, records}});
    }
    const {stream = '', records = []} = message.records ?? {};
    const state = this.states.get(stream);
    if (!state) return;
    if (state.requested?.id === from.id) state.requested = undefined;
    const before = source.nextOffset(stream);
    const parsed = parseRecords(records, before);
    if (parsed.length > 0) sink.accept(stream, parsed);
    const gained = source.nextOffset(stream) - before;
    if (gained > 0) this.relayed.inc({stream}, gained);
    else state.ahead.delete(from.id);
    this.announce();
    this.requestRecords(stream, state);
  }

  private dropReached(stream: string, state: StreamState): void {
    const reached = this.parts.source.nextOffset(stream);
    for (const [id, {next}] of state.ahead) {
      if (next <= reached) state.ahead.delete(id);
    }
  }

  /** Requests records from one host at a time, preferably one of the same zone. */
  private requestRecords(stream: string, state: StreamState): void {
    const {clock, membership, source, transport} = this.parts;
    this.dropReached(stream, state);
    const nowMs = clock.nowMs();
    if (state.requested && nowMs - state.requested.atMs < responseTimeoutMs)
      return;
    if (state.requested) state.ahead.delete(state.requested.id);
    state.requested = undefined;
    const {zone} = membership.view.self;
    const choices = [...state.ahead.values()];
    const best = choices.find(c => c.from.zone === zone) ?? choices[0];
    if (!best) return;
    state.requested = {id: best.from.id, atMs: nowMs};
    const from = source.nextOffset(stream);
    transport.send(best.from, {recordsWanted: {stream, from}});
  }
}

/** Parses the records from an offset on; stops at a gap or at a record that is not valid JSON. */
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
