import {
  feeds,
  type Feed,
  type ReadResult,
  type Snapshot,
} from '../../src/connection/store/shared-store.js';
import {FailureError} from '../../src/process/errors/catalogue.js';
import {
  gossipIntervalMs,
  minIntervalMs,
} from '../../src/process/fleet/gossip-interval.js';
import {
  decodeGossip,
  encodeEcho,
  encodeGossip,
  type GossipMessage,
} from '../../src/process/fleet/gossip-message.js';
import {composedAtMs, echoFor} from '../../src/process/fleet/message-time.js';
import {PeerTable} from '../../src/process/fleet/peer-table.js';
import {rendezvousRank} from '../../src/process/fleet/rendezvous.js';
import {Logger} from '../../src/process/logger.js';
import {createRandom} from '../../src/process/random.js';
import {DeploymentState} from '../../src/version/deployment/deployment-state.js';
import {StateFeed} from '../../src/version/deployment/state-feed.js';
import {ManualClock} from '../../stand-ins/manual-clock.js';
import {configuration, targetChange} from './gateway-fakes.js';
import {nothingToReport} from './gossip-fixture.js';
import {MemoryStore} from './memory-store.js';

/** Step of the simulation, in milliseconds; delays are rounded up to it. */
const stepMs = 10;
const incarnation = 1;
/** Number of targets at the start: `i-0` to `i-19`. */
const targets = 20;

/** Store that counts reads and times long polls by the manual clock. */
class CountingStore extends MemoryStore {
  reads = 0;

  constructor(
    private readonly clock: ManualClock,
    private readonly refuses: (host: string) => boolean,
  ) {
    super();
  }

  async readFor(
    host: string,
    feed: Feed,
    from: number,
    waitMs: number,
  ): Promise<ReadResult> {
    this.checkAccess(host);
    this.reads++;
    const endMs = this.clock.nowMs() + waitMs;
    for (;;) {
      const page = await super.read(feed, from, 0);
      const found = page.kind !== 'records' || page.records.length > 0;
      if (found || this.clock.nowMs() >= endMs) return page;
      await new Promise<void>(resolve => this.clock.after(stepMs, resolve));
    }
  }

  newestFor(host: string, feed: Feed): Promise<Snapshot> {
    this.checkAccess(host);
    this.reads++;
    return super.newest(feed);
  }

  private checkAccess(host: string): void {
    if (!this.refuses(host)) return;
    throw new FailureError({kind: 'store-refused', call: 'read', status: 503});
  }
}

/** The store as one host reaches it. */
class HostStore extends MemoryStore {
  constructor(
    private readonly shared: CountingStore,
    private readonly host: string,
  ) {
    super();
  }

  override newest(feed: Feed): Promise<Snapshot> {
    return this.shared.newestFor(this.host, feed);
  }

  override read(feed: Feed, from: number, waitMs: number): Promise<ReadResult> {
    return this.shared.readFor(this.host, feed, from, waitMs);
  }
}

/** Conditions under which a {@link Fleet} runs. */
export interface FleetOptions {
  readonly size: number;
  readonly seed: number;
  /** Fraction of the messages that are lost. */
  readonly lossRate?: number;
  /** Time from composing a message to its processing by the recipient, in milliseconds. */
  readonly delayMs?: (from: string, to: string, random: number) => number;
  /** Whether the store refuses the calls of a host. */
  readonly refuses?: (host: string) => boolean;
  readonly bounds?: {readonly configMs: number; readonly drainMs: number};
}

export interface FleetHost {
  readonly name: string;
  readonly state: DeploymentState;
  readonly feed: StateFeed;
  readonly peers: PeerTable;
  /** Whether the host sends and receives no more messages. */
  dead: boolean;
  sequence: number;
  nextSendMs: number;
}

/** Hosts that follow one store and exchange gossip over a network that loses and delays messages. */
export class Fleet {
  readonly clock = new ManualClock();
  readonly store: CountingStore;
  readonly hosts: FleetHost[] = [];
  private readonly random: () => number;
  private readonly inFlight = new Map<number, (() => void)[]>();

  constructor(private readonly options: FleetOptions) {
    this.random = createRandom(options.seed);
    this.store = new CountingStore(
      this.clock,
      options.refuses ?? (() => false),
    );
    for (let i = 0; i < options.size; i++) this.add(`host-${i}`);
  }

  /** Runs the simulation; the callback is called after each step. */
  async run(ms: number, each: () => void = () => {}): Promise<void> {
    for (let passed = 0; passed < ms; passed += stepMs) {
      this.clock.advance(stepMs);
      const nowMs = this.clock.nowMs();
      const arrived = this.inFlight.get(nowMs) ?? [];
      this.inFlight.delete(nowMs);
      for (const deliver of arrived) deliver();
      // Lets the promises of a read settle before the clock moves on.
      for (let i = 0; i < 12; i++) await null;
      each();
    }
  }

  private add(name: string): void {
    const state = new DeploymentState();
    const peers = new PeerTable(name);
    const nextSendMs = Math.floor(this.random() * this.intervalMs);
    const feed = new StateFeed({
      clock: this.clock,
      logger: Logger.create('silent'),
      store: new HostStore(this.store, name),
      state,
      bounds: this.options.bounds ?? {configMs: 2000, drainMs: 2000},
      random: this.random,
      position: (log, failing) => {
        const live = peers
          .heard(this.clock.nowMs())
          .filter(({message}) => failing || message?.storeReachable);
        return rendezvousRank(
          log,
          name,
          live.map(({host}) => host),
        );
      },
      onRead: changed => {
        if (changed) this.send(host);
        else host.nextSendMs = 0;
      },
      onUnreadable: () => {},
      onRestored: () => {},
    });
    const host: FleetHost = {
      name,
      state,
      feed,
      peers,
      dead: false,
      sequence: 0,
      nextSendMs,
    };
    this.hosts.push(host);
    const tick = () => {
      if (host.dead) return;
      if (this.clock.nowMs() >= host.nextSendMs) {
        host.nextSendMs =
          this.clock.nowMs() + this.intervalMs - minIntervalMs / 2;
        this.send(host);
      }
      this.clock.after(minIntervalMs, tick);
    };
    this.clock.after(nextSendMs % minIntervalMs, tick);
  }

  private get intervalMs(): number {
    return gossipIntervalMs(this.options.size - 1);
  }

  private send(from: FleetHost): void {
    const {lossRate = 0, delayMs = () => 0} = this.options;
    const message = this.compose(from);
    const nowMs = this.clock.nowMs();
    for (const to of this.hosts) {
      if (to === from || this.random() < lossRate) continue;
      const transitMs = delayMs(from.name, to.name, this.random());
      const steps = Math.ceil((this.clock.nowMs() + transitMs) / stepMs);
      const peer = from.peers.all.find(({host}) => host === to.name);
      const echo = peer && echoFor(peer, nowMs);
      const deliver = () => this.deliver({...message, echo}, to);
      if (transitMs === 0) {
        deliver();
        continue;
      }
      const queue = this.inFlight.get(steps * stepMs);
      if (queue) queue.push(deliver);
      else this.inFlight.set(steps * stepMs, [deliver]);
    }
  }

  /** Builds a message and passes it through the encoding of the datagram. */
  private compose(from: FleetHost): GossipMessage {
    const shared = encodeGossip({
      host: from.name,
      ip: '127.0.0.1',
      zone: 'z',
      incarnation,
      sequence: ++from.sequence,
      sentAtMs: this.clock.nowMs(),
      ...nothingToReport,
      storeReachable: from.feed.outage.durationMs === 0,
      feedUpdate: from.feed.composeUpdate(),
    });
    const message = decodeGossip(
      Buffer.concat([shared, encodeEcho(undefined)]),
    );
    if (!message) throw new Error('the message cannot be decoded');
    return message;
  }

  private deliver(message: GossipMessage, to: FleetHost): void {
    if (to.dead) return;
    const nowMs = this.clock.nowMs();
    if (!to.peers.receive(message, nowMs)) return;
    to.feed.receiveUpdate(
      message.feedUpdate,
      message.host,
      composedAtMs(message.echo, incarnation, nowMs),
    );
  }
}

/** Starts hosts that know one configuration and 20 targets. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const fleet = new Fleet(options);
  for (let i = 0; i < targets; i++) {
    fleet.store.put(feeds.targets, targetChange(`i-${i}`, `10.0.0.${i}:80`));
  }
  fleet.store.put(feeds.orders, {kind: 'configuration', configuration});
  for (const {feed} of fleet.hosts) feed.start();
  await fleet.run(2000);
  return fleet;
}
