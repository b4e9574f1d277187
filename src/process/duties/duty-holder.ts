import {every, type Cancel, type Clock} from '../clock.js';
import type {Logger} from '../logger.js';
import type {CallPace} from './call-pace.js';
import type {Candidacy} from './candidacy.js';
import type {DutyLease, LogView, TimeReading} from './duty-lease.js';
import type {DutyAppendResult, DutyLog} from './duty-log.js';
import type {DutyMetrics} from './duty-metrics.js';
import {
  dutyCallResults,
  type DutyCall,
  type DutyCallResult,
  type DutyPlatform,
} from './duty-platform.js';
import type {DutyRecord} from './duty-record.js';
import type {DutyTask, HeldDuties} from './duty-task.js';
import type {LogRetry} from './log-retry.js';

/** Interval at which the host checks what is due, in milliseconds. */
const tickMs = 250;
/** Minimum time between two log lines about calls that failed, in milliseconds. */
const failureLogMs = 5000;

/** Dependencies of a {@link DutyHolder}. */
export interface DutyHolderParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: DutyMetrics;
  /** Name of this host. */
  readonly host: string;
  readonly lease: DutyLease;
  readonly candidacy: Candidacy;
  readonly retry: LogRetry;
  readonly pace: CallPace;
  readonly log: DutyLog;
  readonly platform: DutyPlatform;
  readonly tasks: readonly DutyTask[];
  /** Number of other hosts that precede this one as holders. */
  readonly rank: () => number;
  /** Whether another host states that it holds the duties. */
  readonly hearsHolder: () => boolean;
  /** Whether this host stops and so takes over no duties. */
  readonly isLeaving: () => boolean;
  /** Returns a text that differs between all calls on all hosts. */
  readonly nonce: () => string;
}

/** Takes over the duties when no other host performs them, and performs them while this host's term lasts. */
export class DutyHolder implements HeldDuties {
  private cancel: Cancel = () => {};
  private running?: Promise<void>;
  private stopped = false;
  private lapseLogged = false;
  private failureLoggedMs = -Infinity;
  private unloggedFailures = 0;

  /** @param parts - Dependencies. */
  constructor(private readonly parts: DutyHolderParts) {}

  /** Starts to check at intervals what is due. */
  start(): void {
    this.cancel = every(this.parts.clock, tickMs, () => this.tick());
  }

  /** Stops; the term is left to run out, since only then it is certain that no call of it arrives any more. */
  async stop(): Promise<void> {
    this.stopped = true;
    this.cancel();
    const {log, platform} = this.parts;
    await Promise.all([platform.close(), log.close()]);
    await this.running;
  }

  private tick(): void {
    this.running ??= this.step().finally(() => {
      this.running = undefined;
    });
  }

  private async step(): Promise<void> {
    const {candidacy, clock, hearsHolder, isLeaving, lease, rank, retry} =
      this.parts;
    if (lease.token !== undefined) return this.hold();
    if (hearsHolder() || isLeaving()) {
      candidacy.reset();
      lease.forget();
      return;
    }
    const nowMs = clock.nowMs();
    if (!candidacy.isDue(nowMs, rank()) || !retry.isDue(nowMs)) return;
    if (!lease.basis && !(await this.read())) return;
    if (lease.mayClaim(this.now())) await this.claim();
  }

  private async hold(): Promise<void> {
    const {clock, lease, retry, tasks} = this.parts;
    if (lease.needsRead) {
      this.logLapse();
      if (!retry.isDue(clock.nowMs())) return;
      const view = await this.read();
      if (view === 'renewable') return this.claim();
      if (view !== 'held') return;
    }
    for (const task of tasks) {
      if (!this.isHolding()) return;
      try {
        await task.run(this, clock.nowMs());
      } catch (err) {
        this.logTaskFailure(task, err);
      }
    }
    if (this.isHolding() && lease.isRenewalDue(this.now())) await this.renew();
  }

  private isHolding(): boolean {
    const {lease} = this.parts;
    return !this.stopped && lease.token !== undefined && !lease.needsRead;
  }

  /** Reads the log; returns nothing if that failed. */
  private async read(): Promise<LogView | undefined> {
    const {clock, lease, log, retry} = this.parts;
    const {token} = lease;
    try {
      const snapshot = await log.newest();
      retry.succeeded();
      if (this.stopped) return undefined;
      const view = lease.read(snapshot, this.now());
      if (view === 'lost') this.lost('another-term', token);
      if (view === 'held') {
        this.forTasks(task => task.adopt(snapshot.records));
      }
      return view;
    } catch (err) {
      retry.failed(err, clock.nowMs());
      return undefined;
    }
  }

  /** Appends a term of this host. */
  private async claim(): Promise<void> {
    const {host, lease, logger, metrics, nonce} = this.parts;
    const {basis} = lease;
    if (!basis) return;
    const own = nonce();
    const sent = this.now();
    const result = await this.append(
      [{kind: 'term', holder: host, nonce: own}],
      basis.end,
    );
    if (this.stopped) return;
    if (!lease.claimed(own, result, sent)) return;
    this.lapseLogged = false;
    metrics.tookOver();
    logger.event('dutiesTaken', {token: lease.token});
    this.forTasks(task => task.adopt(basis.records));
  }

  private lost(why: string, token: number | undefined): void {
    const {candidacy, logger} = this.parts;
    logger.event('dutiesLost', {why, token});
    candidacy.reset();
    this.forTasks(task => task.lost());
  }

  private forTasks(fn: (task: DutyTask) => void): void {
    for (const task of this.parts.tasks) {
      try {
        fn(task);
      } catch (err) {
        this.logTaskFailure(task, err);
      }
    }
  }

  private logTaskFailure(task: DutyTask, err: unknown): void {
    const reason = err instanceof Error ? err.message : String(err);
    const name = task.constructor.name;
    this.parts.logger.event('dutyTaskFailed', {task: name, reason});
  }

  private renew(): Promise<boolean> {
    return this.record([{kind: 'renewal', nonce: this.parts.nonce()}]);
  }

  /** @inheritdoc */
  async record(records: readonly DutyRecord[]): Promise<boolean> {
    const {clock, lease, retry} = this.parts;
    const {end, token} = lease;
    if (end === undefined || !this.isHolding()) return false;
    if (!retry.isDue(clock.nowMs())) return false;
    const sent = this.now();
    const result = await this.append(records, end);
    if (this.stopped || lease.token !== token) return false;
    if (!lease.appended(result, sent)) return false;
    this.lapseLogged = false;
    return true;
  }

  /** @inheritdoc */
  async call(call: DutyCall): Promise<DutyCallResult> {
    const {clock, host, lease, metrics, pace, platform} = this.parts;
    const {callMs} = lease.times;
    const count = (result: DutyCallResult) => {
      metrics.called(call.kind, result);
      return result;
    };
    const {token} = lease;
    if (token === undefined || !this.isHolding()) {
      return count(dutyCallResults.notHeld);
    }
    if (!lease.covers(this.now(), callMs)) await this.renew();
    // The token may be another one after a renewal, and the records that led to the call may be those of another host.
    const isCovered = () =>
      this.isHolding() && lease.token === token && lease.covers(this.now(), 0);
    if (!isCovered() || !lease.covers(this.now(), callMs)) {
      return count(dutyCallResults.notHeld);
    }
    if (!pace.take(clock.nowMs())) return count(dutyCallResults.busy);
    const term = {holder: host, token};
    const result = await platform.call(term, call, callMs, isCovered);
    if (result !== dutyCallResults.accepted) this.logFailure(call, result);
    return count(result);
  }

  private async append(
    records: readonly DutyRecord[],
    end: number,
  ): Promise<DutyAppendResult | undefined> {
    const {clock, log, metrics, retry} = this.parts;
    try {
      const result = await log.append(records, end);
      retry.succeeded();
      if (result.kind === 'conflict') metrics.logFailed(result.kind);
      return result;
    } catch (err) {
      retry.failed(err, clock.nowMs());
      return undefined;
    }
  }

  private logLapse(): void {
    const {lease, logger} = this.parts;
    if (this.lapseLogged || lease.covers(this.now(), 0)) return;
    this.lapseLogged = true;
    logger.event('dutyRightEnded', {token: lease.token});
  }

  private logFailure(call: DutyCall, result: DutyCallResult): void {
    const nowMs = this.parts.clock.nowMs();
    if (nowMs - this.failureLoggedMs < failureLogMs) {
      this.unloggedFailures++;
      return;
    }
    this.parts.logger.event('dutyCallFailed', {
      duty: call.kind,
      result,
      unlogged: this.unloggedFailures,
    });
    this.failureLoggedMs = nowMs;
    this.unloggedFailures = 0;
  }

  private now(): TimeReading {
    const {clock} = this.parts;
    return {nowMs: clock.nowMs(), wallMs: clock.wallMs()};
  }
}
