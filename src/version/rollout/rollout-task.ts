import {LogFollower} from '../../connection/platform/log-follower.js';
import type {
  LogClient,
  LogRecord,
} from '../../connection/platform/log-client.js';
import {every, type Cancel, type Clock} from '../../process/clock.js';
import type {Logger} from '../../process/logger.js';
import type {MemberView} from '../../process/member-view.js';
import {rankHosts} from '../../process/ownership.js';
import {Subject, subscribe} from '../../process/subject.js';
import {Task} from '../../process/task.js';
import type {RecordSource} from '../record-relay.js';
import {decideStep} from './decide-step.js';
import {leaseStream} from './lease.js';
import {OrderSender, type OrderMessage} from './order-sender.js';
import type {
  EngineOrders,
  EvidenceSource,
  LoadGate,
  RolloutEnvironment,
} from './ports.js';
import {RolloutJournal, type AppendedMessage} from './rollout-journal.js';
import {
  isActive,
  rolloutStream,
  type RolloutEntry,
  type RolloutState,
} from './rollout-state.js';
import {
  entryOf,
  zonesOf,
  type DeclaredRollout,
  type RolloutView,
} from './rollout-view.js';
import {rolloutStatus, type RolloutStatus} from './status.js';
import {versionCaps, type ServiceCaps} from './version-caps.js';

/** Interval between decisions, in milliseconds; a host stops a bad version within it. */
const tickMs = 500;
/** Interval between two ticks above which the host counts as paused, in milliseconds. */
const pauseMs = 2000;
/** Time a resumed host needs to read the log and receive gossip, in milliseconds. */
const catchUpMs = 2000;
/** Delay per rank before a host acquires a free lease, in milliseconds; it staggers the appends. */
const rankDelayMs = 1500;

/** Message to {@link RolloutTask}. */
export type RolloutMessage =
  | OrderMessage
  | {readonly kind: 'tick'}
  | {
      readonly kind: 'records';
      readonly stream: string;
      readonly records: readonly LogRecord[];
      readonly next: number;
    }
  | {readonly kind: 'log-down'; readonly stream: string}
  | {
      readonly kind: 'log-truncated';
      readonly stream: string;
      readonly first: number;
    }
  | {
      readonly kind: 'relayed';
      readonly stream: string;
      readonly records: readonly LogRecord[];
    }
  | {readonly kind: 'self-paused'}
  | AppendedMessage;

/** Dependencies of {@link RolloutTask}. */
export interface RolloutParts {
  readonly host: string;
  readonly clock: Clock;
  readonly log: LogClient;
  readonly members: MemberView;
  readonly environment: RolloutEnvironment;
  readonly orders: EngineOrders;
  readonly gate: LoadGate;
  readonly evidence: EvidenceSource;
  readonly logger?: Logger;
}

/**
 * Follows the state of all rollouts, publishes the caps of their versions, stops bad versions, and
 * leads the rollouts whose lease this host holds.
 */
export class RolloutTask extends Task<RolloutMessage> {
  private readonly capsSubject = new Subject<ServiceCaps>();
  private readonly journal: RolloutJournal;
  private readonly sender: OrderSender;
  private readonly followers: LogFollower[] = [];
  private readonly cancels: Cancel[] = [];
  private readonly down = new Set<string>();
  private readonly stopped = new Map<string, Set<string>>();
  private readonly publishedCaps = new Map<string, string>();
  private readonly leading = new Set<string>();
  private lastTickMs: number | undefined;
  private outdatedUntilMs = -Infinity;

  /** Emits the caps of a service whenever they have changed. */
  readonly caps = this.capsSubject.stream;

  /** @param parts - Dependencies; the caller owns them. */
  constructor(private readonly parts: RolloutParts) {
    super();
    const {host, clock, log, orders, gate, logger} = parts;
    this.journal = new RolloutJournal({
      host,
      clock,
      log,
      post: message => this.post(message),
      changed: (after, before) => this.changed(after, before),
      unconfirmed: stream => logger?.event('rolloutWriteUnconfirmed', {stream}),
    });
    this.sender = new OrderSender(orders, gate, clock, logger, message =>
      this.post(message),
    );
  }

  /** Starts to follow the log streams and to make decisions. */
  start(): void {
    const {log, clock} = this.parts;
    for (const stream of [leaseStream, rolloutStream]) {
      const follower = new LogFollower(log, stream, clock);
      this.followers.push(follower);
      const stop = subscribe(follower.events, event => {
        if (event.kind === 'records') this.post({...event, stream});
        else if (event.kind === 'truncated')
          this.post({kind: 'log-truncated', stream, first: event.first});
        else this.post({kind: 'log-down', stream});
      });
      this.cancels.push(stop);
      follower.start(() => this.journal.offsetOf(stream));
    }
    this.cancels.push(every(clock, tickMs, () => this.post({kind: 'tick'})));
  }

  /** Stops the task and releases the leases under which this host leads rollouts. */
  stop(): void {
    for (const name of this.leading) this.journal.writeLease(name, 'release');
    this.leading.clear();
    for (const follower of this.followers) follower.stop();
    for (const cancel of this.cancels) cancel();
    this.journal.stop();
  }

  /** Recent records of the followed streams, which the host relays to its peers. */
  get source(): RecordSource {
    return this.journal.source;
  }

  /** @returns The state of all rollouts. */
  get rollouts(): RolloutState {
    return this.journal.state;
  }

  /**
   * Checks whether this host may act for a rollout now.
   *
   * @param name - Name of the rollout.
   */
  leads(name: string): boolean {
    return this.journal.fencingOf(name) !== undefined;
  }

  /**
   * Computes the status of a rollout.
   *
   * @param name - Name of the rollout.
   * @returns The status, `undefined` if the rollout is neither declared nor in progress.
   */
  status(name: string): RolloutStatus | undefined {
    const declared = this.allDeclared().find(other => other.name === name);
    if (!declared) return undefined;
    const {service, version} = declared.spec;
    const view = this.viewOf(declared);
    // After a pause the counters of peers are missing, so the share cannot be computed.
    const verdict = {...view.verdict, measuredShare: undefined};
    return rolloutStatus(this.outdated ? {...view, verdict} : view, {
      leader: this.journal.holderOf(name),
      logAvailable: this.down.size === 0,
      stoppedHere: this.stopped.get(service)?.has(version) ?? false,
    });
  }

  protected override *run(): Generator<undefined, void, RolloutMessage> {
    for (;;) {
      const message: RolloutMessage = yield;
      switch (message.kind) {
        case 'tick':
          this.tick();
          break;
        case 'records':
          this.down.delete(message.stream);
          this.journal.fold(message.stream, message.records, message.next);
          break;
        case 'relayed':
          // Peers may lag behind the log, so these records do not show where the stream ends.
          this.journal.fold(message.stream, message.records, Infinity);
          break;
        case 'self-paused':
          this.relinquishLeases();
          break;
        case 'log-down':
          this.down.add(message.stream);
          break;
        case 'log-truncated':
          this.journal.skipTo(message.stream, message.first);
          break;
        case 'appended':
          this.journal.appended(message);
          break;
        case 'surveyed':
          this.sender.endSurvey(message.rollout, message.fencing);
          break;
        case 'order-read':
          this.sender.send(message, this.journal.fencingOf(message.rollout));
          break;
        case 'order-ended':
          if (this.sender.handleEnded(message))
            this.journal.relinquish(message.rollout);
          break;
      }
    }
  }

  private changed(after: RolloutEntry, before: RolloutEntry | undefined): void {
    const {service, version} = after.spec;
    const {phase, step} = after;
    if (before?.step !== step || before.phase !== phase)
      this.parts.evidence.startStep(service, after.oldVersion, version);
    this.parts.logger?.event('rolloutChanged', {
      rollout: after.name,
      phase,
      step,
    });
    this.publishCaps();
  }

  /** Whether this host was paused so long that its counters and its state are out of date. */
  private get outdated(): boolean {
    const nowMs = this.parts.clock.nowMs();
    const lastMs = this.lastTickMs ?? nowMs;
    return nowMs - lastMs > pauseMs || nowMs < this.outdatedUntilMs;
  }

  private relinquishLeases(): void {
    this.journal.relinquishAll();
    this.outdatedUntilMs = this.parts.clock.nowMs() + catchUpMs;
    this.publishCaps();
  }

  private tick(): void {
    const nowMs = this.parts.clock.nowMs();
    if (this.lastTickMs === undefined || nowMs - this.lastTickMs > pauseMs)
      this.outdatedUntilMs = nowMs + catchUpMs;
    this.lastTickMs = nowMs;
    this.stopHarmful();
    this.publishCaps();
    if (!this.journal.synced) return;
    for (const declared of this.allDeclared()) this.leadOrFollow(declared);
  }

  /** Stops harmful versions on this host, whichever host leads and even if the log is down. */
  private stopHarmful(): void {
    const {evidence, clock, logger} = this.parts;
    for (const entry of this.journal.state.entries.values()) {
      if (entry.phase !== 'progressing' && entry.phase !== 'completed')
        continue;
      const {service, version} = entry.spec;
      const stopped = this.stopped.get(service) ?? new Set<string>();
      this.stopped.set(service, stopped);
      const verdict = evidence.verdict(
        service,
        entry.oldVersion,
        version,
        clock.wallMs(),
      );
      if (!verdict.stop || stopped.has(version)) continue;
      stopped.add(version);
      logger?.event('rolloutStopped', {rollout: entry.name, ...verdict.stop});
    }
  }

  private publishCaps(): void {
    const {environment, clock} = this.parts;
    const services = new Set<string>();
    for (const entry of this.journal.state.entries.values())
      services.add(entry.spec.service);
    for (const service of services) {
      const targets = environment.targets(service);
      const caps = versionCaps({
        state: this.journal.state,
        service,
        targets,
        zones: zonesOf(targets, environment.zonesIn()),
        stopped: this.stopped.get(service) ?? new Set(),
        outdated: this.outdated,
        wallMs: clock.wallMs(),
      });
      const text = JSON.stringify([...caps.zones]);
      if (this.publishedCaps.get(service) === text) continue;
      this.publishedCaps.set(service, text);
      this.capsSubject.next(caps);
    }
  }

  /** Declared rollouts, and those in progress whose declaration was deleted. */
  private allDeclared(): DeclaredRollout[] {
    const declared = [...this.parts.environment.declared()];
    const names = new Set(declared.map(({name}) => name));
    for (const entry of this.journal.state.entries.values()) {
      if (names.has(entry.name) || !isActive(entry)) continue;
      // A rollout whose declaration was deleted is rolled back, unless it was completed.
      const control = entry.phase === 'completed' ? 'run' : 'take-back';
      declared.push({
        name: entry.name,
        spec: {...entry.spec, control},
        offset: 0,
      });
    }
    return declared;
  }

  private leadOrFollow(declared: DeclaredRollout): void {
    const {name} = declared;
    const fencing = this.journal.fencingOf(name);
    if (fencing === undefined) {
      if (this.leading.delete(name))
        this.parts.logger?.event('rolloutLeaseLost', {rollout: name});
      this.tryAcquire(declared);
      return;
    }
    const view = this.viewOf(declared);
    const decisions = decideStep(view);
    if (decisions.length === 0) return;
    this.journal.renew(name);
    const epoch = this.journal.state.epochs.get(name) ?? -1;
    if (epoch > fencing) return;
    if (epoch < fencing) {
      this.journal.write(name, fencing, {type: 'claim'});
      return;
    }
    if (!this.leading.has(name)) {
      this.leading.add(name);
      this.parts.logger?.event('rolloutLeading', {rollout: name, fencing});
    }
    const inPlace = declared.spec.strategy === 'in-place';
    if (inPlace && !this.sender.survey(name, fencing, view.targets)) return;
    for (const decision of decisions) {
      if (decision.kind === 'record')
        this.journal.write(name, fencing, decision.change);
      else if (decision.kind === 'order') this.sender.prepare(name, decision);
    }
  }

  private tryAcquire(declared: DeclaredRollout): void {
    const {name} = declared;
    const {members, host} = this.parts;
    const ids = members.live().map(({id}) => id);
    const rank = rankHosts(name, ids).indexOf(host);
    const freeMs = this.journal.freeFor(name);
    // Only the host of rank 0 acquires the first lease: there is no expiry to count the delay from.
    if (freeMs === undefined ? rank !== 0 : freeMs < rank * rankDelayMs) return;
    if (rank < 0) return;
    if (decideStep(this.viewOf(declared)).length === 0) return;
    this.journal.writeLease(name, 'acquire');
  }

  private viewOf(declared: DeclaredRollout): RolloutView {
    const {environment, evidence, clock} = this.parts;
    const {service, version} = declared.spec;
    const base = {declared, state: this.journal.state};
    const entry = entryOf(base as RolloutView);
    const oldVersion =
      entry?.oldVersion ||
      (this.journal.state.inEffect.get(service) ??
        environment.serviceVersion(service));
    const wallMs = clock.wallMs();
    const estimates = environment.estimates();
    return {
      ...base,
      serviceVersion: environment.serviceVersion(service),
      targets: this.sender.overlay(environment.targets(service)),
      verdict: evidence.verdict(service, oldVersion, version, wallMs),
      newInFlight: environment.inFlight(service, version),
      utilisation: environment.utilisation(service),
      estimates: {
        ...estimates,
        loadMs: Math.max(estimates.loadMs, this.sender.measuredLoadMs ?? 0),
      },
      wallMs,
    };
  }
}
