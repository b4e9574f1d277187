import {createHash} from 'node:crypto';
import {
  LogClient,
  type LogPage,
} from '../src/connection/platform/log-client.js';
import type {Clock} from '../src/process/clock.js';
import {createPermits} from '../src/process/groups/create-permits.js';
import {OrganisationLimiter} from '../src/process/limits/organisation-limiter.js';
import {Logger} from '../src/process/logger.js';
import {MembershipTask} from '../src/process/membership/membership-task.js';
import type {PeerIdentity} from '../src/process/membership/messages.js';
import {PacedLogClient} from '../src/process/membership/paced-log-client.js';
import {RecordRelay} from '../src/process/membership/record-relay.js';
import {createEntryMemory} from '../src/connection/http/create-caller-memory.js';
import {Metrics} from '../src/process/metrics.js';
import {subscribe} from '../src/process/subject.js';
import type {ClaimGate} from '../src/request/claim-gate.js';
import {CostEstimator} from '../src/request/cost-estimator.js';
import {CrashEvidence} from '../src/process/crashes/crash-evidence.js';
import {PermitDispatcher} from '../src/request/permit-dispatcher.js';
import {RequestHandler} from '../src/request/request-handler.js';
import {TokenBucketRetryBudget} from '../src/request/retry-budget.js';
import {LocalClaimSubmitter} from '../src/version/claims/claim-submitter.js';
import {
  claimLedgerRetentionMs,
  LogClaimGate,
  UnknownStatusSource,
} from '../src/version/claims/log-claim-gate.js';
import {ConfigFeed} from '../src/version/config-feed.js';
import {ConfigStore, configStream} from '../src/version/config-store.js';
import {ConfigWriter} from '../src/version/config-writer.js';
import {HostClock} from '../stand-ins/host-clock.js';
import type {ManualClock} from '../stand-ins/manual-clock.js';
import type {LogFaults, LogStore} from '../stand-ins/log-store.js';
import {MemoryLogClient} from '../stand-ins/memory-log-client.js';
import type {SimNetwork} from './sim-network.js';
import {SimStatusClient, type SimTargets} from './sim-targets.js';

const callerLimits = {maxBodyBytes: 1_000_000};

/** Time for which claims are kept in the simulation, in milliseconds. */
const retentionMs = 3600_000;

/** Replacements of parts, for runs in which one mechanism is missing. */
export interface SimHooks {
  readonly claims?: (gate: ClaimGate, clock: Clock) => ClaimGate;
  /** False for a host that does not take records from other hosts. */
  readonly relays?: boolean;
  readonly gracefulStop?: boolean;
}

/** What a host shares with the fleet. */
export interface SimHostParts {
  readonly clock: ManualClock;
  readonly random: () => number;
  readonly network: SimNetwork;
  readonly targets: SimTargets;
  readonly store: LogStore;
  readonly logFaults: LogFaults;
  readonly seeds: readonly string[];
  readonly hooks: SimHooks;
}

/** One process of a host with the real parts, connected as `src/wiring.ts` connects them. */
export class SimHost {
  state: 'running' | 'paused' | 'dead' = 'running';
  stopping = false;
  pausedAtMs = 0;
  /** Start of the process or end of its last pause. */
  runningSinceMs: number;
  /** Invariant violations that the parts counted themselves. */
  readonly metrics = new Metrics();
  readonly config = new ConfigStore();
  readonly membership: MembershipTask;
  readonly permits;
  readonly handler: RequestHandler;
  readonly writer: ConfigWriter;
  private readonly deferred: (() => void)[] = [];
  private readonly ends: (() => void)[] = [];

  constructor(
    readonly self: PeerIdentity,
    private readonly parts: SimHostParts,
  ) {
    const {network, random, targets, hooks, store} = parts;
    this.runningSinceMs = parts.clock.nowMs();
    const {id} = self;
    const clock = new HostClock(parts.clock, fn => this.gate(fn));
    const log = new HostLog(
      new MemoryLogClient(clock, store, parts.logFaults),
      () => this.awake(),
    );
    const logger = Logger.create('silent');
    const {metrics, config} = this;
    const ports = network.attach(self);
    const shared = {clock, logger, metrics, random};
    this.membership = new MembershipTask(
      {
        self,
        incarnation: Math.floor(clock.wallMs() / 1000),
        seeds: parts.seeds,
        random,
      },
      {...shared, transport: ports.peers},
    );
    const members = this.membership.view;
    const relay = new RecordRelay({
      ...shared,
      membership: this.membership,
      transport: ports.peers,
      source: config.source,
      sink: config.sink,
      streams: hooks.relays === false ? [] : [configStream],
    });
    const feed = new ConfigFeed({
      ...shared,
      log: new PacedLogClient(log, relay, clock),
      store: config,
    });
    const logUp = () => feed.logUp;
    this.writer = new ConfigWriter({log, store: config, clock, random, logUp});
    const submitter = new LocalClaimSubmitter({
      log,
      clock,
      random,
      ledgerRetentionMs: claimLedgerRetentionMs(retentionMs),
      appendsPerSecond: () => 200 / members.live().length,
    });
    this.permits = createPermits({
      ...shared,
      members,
      transport: ports.permits,
      status: new SimStatusClient(targets, id),
      config: () => config.state,
    });
    const dispatcher = new PermitDispatcher({
      permits: this.permits.manager,
      members,
      config: () => config.state,
      clock,
      onSpill: this.permits.onSpill,
    });
    const gate = new LogClaimGate({
      host: id,
      clock,
      submitter,
      statusSource: new UnknownStatusSource(),
      partitions: 4,
      retentionMs,
    });
    this.handler = new RequestHandler({
      ...shared,
      host: id,
      dispatcher,
      config: () => config.state,
      client: target =>
        targets.client({id, gate: fn => this.gate(fn)}, target.name),
      retryBudget: new TokenBucketRetryBudget(),
      crashEvidence: new CrashEvidence(),
      claims: hooks.claims?.(gate, clock) ?? gate,
      costs: new CostEstimator(),
      limiter: OrganisationLimiter.forMember(members),
      prefixes: () => undefined,
      ...callerLimits,
      memory: createEntryMemory(callerLimits, shared),
    });
    // As in the wiring, the records of one page are followed up together.
    let due = false;
    const followUp = () => {
      if (due) return;
      due = true;
      queueMicrotask(() => this.gate(apply));
    };
    const apply = () => {
      due = false;
      const configOffset = config.state.offset;
      this.membership.post({kind: 'publish', configOffset});
      relay.post({kind: 'advanced'});
      this.permits.manager.configChanged();
    };
    this.ends.push(
      subscribe(config.changes, followUp),
      subscribe(config.installed, followUp),
      () => this.permits.stop(),
      () => feed.stop(),
      () => submitter.stop(),
      () => relay.stop(),
      () => this.membership.stop(),
    );
    this.membership.start(self.address);
    relay.start();
    this.permits.start();
    void feed.start();
  }

  /** Runs a function now, at the end of a pause, or never. */
  gate(fn: () => void): void {
    if (this.state === 'running') fn();
    else if (this.state === 'paused') this.deferred.push(fn);
  }

  private awake(): Promise<void> {
    return new Promise(resolve => this.gate(resolve));
  }

  /** Holds all actions of the process. */
  pause(): void {
    if (this.state !== 'running') return;
    this.state = 'paused';
    this.pausedAtMs = this.parts.clock.nowMs();
  }

  /** Continues with what arrived during the pause. */
  resume(): void {
    if (this.state !== 'paused') return;
    this.state = 'running';
    this.runningSinceMs = this.parts.clock.nowMs();
    for (const fn of this.deferred.splice(0)) this.gate(fn);
  }

  /** Withdraws this host from the sharing of permits, as the start of a graceful stop does. */
  handOver(): void {
    this.stopping = true;
    this.permits.manager.handOver();
  }

  /** Ends the process after a graceful stop. */
  finish(): void {
    for (const end of this.ends) end();
    this.kill();
  }

  /** Ends the process at once. */
  kill(): void {
    this.state = 'dead';
    this.deferred.length = 0;
    this.parts.network.detach(this.self);
    this.parts.targets.hostClosed(this.self.id);
  }
}

/** Hands over results of the log only while the host runs. */
class HostLog extends LogClient {
  constructor(
    private readonly log: LogClient,
    private readonly awake: () => Promise<void>,
  ) {
    super();
  }

  override append(stream: string, data: unknown): Promise<number> {
    return this.held(this.log.append(stream, data));
  }

  override read(
    stream: string,
    from: number,
    options?: Parameters<LogClient['read']>[2],
  ): Promise<LogPage> {
    return this.held(this.log.read(stream, from, options));
  }

  private held<T>(pending: Promise<T>): Promise<T> {
    return pending.finally(this.awake);
  }
}

/** Digest of a caller's key, as the configuration holds it. */
export function keyDigest(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}
