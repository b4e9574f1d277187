import {every, type Cancel, type Clock} from '../../process/clock.js';
import type {Receiver} from '../../process/membership/effects.js';
import type {
  CounterCell,
  GossipCounters,
} from '../../process/membership/gossip-counters.js';
import type {PeerTransport} from '../../process/membership/peer-transport.js';
import {subscribe} from '../../process/subject.js';
import {loadProtoMessage} from './proto.js';

const intervalMs = 1000;
/** Keeps a message below 400 bytes with keys of 12 characters: 11 bytes for a cell and its key. */
export const cellsPerMessage = 14;

interface EncodedCounters {
  readonly names: readonly string[];
  readonly cells: readonly number[];
}

const type = loadProtoMessage<EncodedCounters>(
  'peer.proto',
  'guavaseam.Counters',
);

/**
 * Encodes counter cells.
 *
 * @param cells - Cells to encode.
 * @returns Protobuf bytes; each name is contained once.
 */
export function encodeCells(cells: readonly CounterCell[]): Buffer {
  const names: string[] = [];
  const indexes = new Map<string, number>();
  const index = (name: string): number => {
    let at = indexes.get(name);
    if (at === undefined) {
      at = names.push(name) - 1;
      indexes.set(name, at);
    }
    return at;
  };
  const numbers = cells.flatMap(cell => [
    index(cell.key),
    index(cell.host),
    cell.incarnation,
    cell.value,
    cell.age,
  ]);
  return type.serialize({names, cells: numbers});
}

/**
 * Decodes counter cells.
 *
 * @param bytes - Protobuf bytes.
 * @returns Cells; empty if the bytes are malformed.
 */
export function decodeCells(bytes: Uint8Array): CounterCell[] {
  let message: EncodedCounters;
  try {
    message = type.deserialize(Buffer.from(bytes));
  } catch {
    return [];
  }
  const {names, cells: numbers} = message;
  const cells: CounterCell[] = [];
  for (let i = 0; i + 5 <= numbers.length; i += 5) {
    const [keyAt, hostAt, incarnation, value, age] = numbers.slice(i, i + 5);
    const key = names[keyAt];
    const host = names[hostAt];
    if (key === undefined || host === undefined) return [];
    if (!numbers.slice(i, i + 5).every(Number.isSafeInteger)) return [];
    cells.push({key, host, incarnation, value, age});
  }
  return cells;
}

/** What {@link CounterGossip} uses. */
export interface CounterGossipParts {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  /** Members to which this host keeps links. */
  readonly neighbours: () => readonly Receiver[];
}

/** Exchanges the counters of one topic with the linked hosts. */
export class CounterGossip {
  private cancels: Cancel[] = [];

  /**
   * @param topic - Name of the topic; the same at all hosts.
   * @param counters - Counters to exchange.
   * @param parts - Links and clock.
   */
  constructor(
    private readonly topic: string,
    private readonly counters: GossipCounters,
    private readonly parts: CounterGossipParts,
  ) {}

  /** Starts to send and to merge. */
  start(): void {
    const {clock, transport} = this.parts;
    this.cancels = [
      subscribe(transport.messages, ({from, message: {gossip}}) => {
        if (gossip?.topic !== this.topic) return;
        const cells = decodeCells(gossip.data);
        this.counters.merge(from.id, cells, clock.nowMs());
      }),
      every(clock, intervalMs, () => this.exchange()),
    ];
  }

  /** Stops. */
  stop(): void {
    for (const cancel of this.cancels) cancel();
  }

  private exchange(): void {
    const {clock, transport, neighbours} = this.parts;
    const nowMs = clock.nowMs();
    const linked = neighbours();
    this.counters.expire(nowMs, id => linked.some(to => to.id === id));
    for (const to of linked) {
      const cells = this.counters.delta(to.id, cellsPerMessage, nowMs);
      if (cells.length === 0) continue;
      const gossip = {topic: this.topic, data: encodeCells(cells)};
      transport.send(to, {gossip});
    }
  }
}
