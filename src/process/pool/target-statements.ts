import type {Logger} from '../logger.js';
import type {ResponseRoom} from './brittle-use.js';
import {
  BrittleServices,
  type BrittleReport,
  type BrittleStatement,
  type ServiceBrittleness,
} from './brittle-services.js';

/** Minimum time between two log lines about the use of one limited target, in milliseconds. */
const useLogIntervalMs = 4000;

/** What one response says of its target. */
export interface ResponseStatement extends BrittleStatement, ResponseRoom {
  /** Requests per second that the target accepts from all hosts together; absent if it states no limit. */
  readonly limitPerSecond?: number;
  /** Whether the target is about to stop. */
  readonly leaving: boolean;
  /** Time for which the target accepts nothing from this host, in milliseconds. */
  readonly backoffMs?: number;
  /** Time for which the target stays cold, in milliseconds. */
  readonly coldMs?: number;
  /** Load of the target; its figures change with each response. */
  readonly load?: {
    /** Time that work takes at the moment, in percent of the usual time; absent if not stated. */
    readonly pacePercent?: number;
  };
}

/** What a target says of itself in its responses. */
export interface TargetStatement extends ServiceBrittleness {
  /** Requests per second that the target accepts from all hosts together; absent if it states no limit. */
  readonly limitPerSecond?: number;
  /** Whether the target is about to stop, so that it gets no new requests. */
  readonly leaving: boolean;
  /** Monotonic time until which the target accepts nothing from this host, in milliseconds. */
  readonly backoffUntilMs: number;
}

/** What a target says of itself, as hosts report it to each other. A backoff concerns one host only. */
export interface StatementReport extends Pick<
  TargetStatement,
  'limitPerSecond' | 'leaving'
> {
  readonly target: string;
  /** Unix time at which the target started, in milliseconds; identifies its incarnation. */
  readonly bornMs: number;
  /** Time since the response that states the limit, or that ended it, in milliseconds. */
  readonly ageMs: number;
  /** What the targets of its service say together; goes with one target of each service. */
  readonly brittle?: BrittleReport;
}

/** Maximum number of reports in one message; longer lists are sent in turns. */
const maxReports = 16;
/** Time for which the end of a limit is reported, in milliseconds; long enough for some messages of each host. */
const endReportedMs = 6000;

/**
 * Time for which the statements of a removed target are kept, in milliseconds. Its entry can come back, because the store
 * was away or was restored from a copy; it is then still the same incarnation.
 */
const keptMs = 300_000;

/** Latest statement of one incarnation of a target. */
class StatementRecord implements TargetStatement {
  limitPerSecond?: number;
  leaving = false;
  backoffUntilMs = -Infinity;
  /** Monotonic time at which the target was removed, in milliseconds; absent while it is known. */
  removedAtMs?: number;
  /** Monotonic time of the latest response that states the limit, or that ended it, in milliseconds. */
  limitAtMs = -Infinity;
  /** Requests of this host since the last log line about them, and the monotonic time of that line. */
  sent = 0;
  loggedAtMs = -Infinity;

  /**
   * @param bornMs - Unix time at which the target started, in milliseconds; identifies the incarnation.
   * @param service - Name of its service.
   * @param brittleness - Whether the targets of the service are brittle; kept up to date by the owner.
   */
  constructor(
    readonly bornMs: number,
    readonly service: string,
    private readonly brittleness: ServiceBrittleness,
  ) {}

  get rejectionsPerSecond(): number | undefined {
    return this.brittleness.rejectionsPerSecond;
  }
}

/** Keeps what targets say of themselves in their responses. */
export class TargetStatements {
  private readonly records = new Map<string, StatementRecord>();
  /** Number of reports that were sent in earlier messages, for the turns of a long list. */
  private reported = 0;

  /** Services whose targets are brittle. */
  readonly brittle: BrittleServices;

  /** @param logger - Logger of the process. */
  constructor(private readonly logger: Logger) {
    this.brittle = new BrittleServices(logger);
  }

  /**
   * Looks up what an incarnation of a target says; from then on, statements of other incarnations are ignored.
   *
   * @param id - Id of the target.
   * @param bornMs - Unix time at which it started, in milliseconds.
   * @param service - Name of its service.
   * @returns Live object that later responses update.
   */
  of(id: string, bornMs: number, service = ''): TargetStatement {
    let record = this.records.get(id);
    if (record?.bornMs !== bornMs) {
      const brittleness = this.brittle.of(service);
      record = new StatementRecord(bornMs, service, brittleness);
      this.records.set(id, record);
    }
    record.removedAtMs = undefined;
    return record;
  }

  /**
   * Records what a response states. A response without a limit ends the limit only if its request was sent after the
   * latest response that states it: responses on different connections may arrive out of order.
   *
   * @param id - Id of the target.
   * @param bornMs - Unix time at which it started, in milliseconds.
   * @param stated - Content of the response.
   * @param sentAtMs - Monotonic time at which the request was sent, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  record(
    id: string,
    bornMs: number,
    stated: ResponseStatement,
    sentAtMs: number,
    nowMs: number,
  ): void {
    const record = this.records.get(id);
    // A late response of an earlier incarnation says nothing about the present one.
    if (record?.bornMs !== bornMs) return;
    if (stated.leaving) this.setLeaving(record, id, 'response');
    this.brittle.record(record.service, id, stated, sentAtMs, nowMs);
    if (stated.backoffMs !== undefined) {
      const untilMs = nowMs + stated.backoffMs;
      record.backoffUntilMs = Math.max(record.backoffUntilMs, untilMs);
      this.logger.event('targetBackoff', {target: id, forMs: stated.backoffMs});
    }
    const {limitPerSecond} = stated;
    const ends =
      limitPerSecond === undefined &&
      record.limitPerSecond !== undefined &&
      sentAtMs > record.limitAtMs;
    if (limitPerSecond === undefined && !ends) return;
    this.setLimit(record, id, limitPerSecond, nowMs, 'response');
  }

  /**
   * Lists what the other hosts should know.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   */
  report(nowMs: number): StatementReport[] {
    const all: StatementReport[] = [];
    for (const [target, record] of this.records) {
      const {bornMs, leaving, limitAtMs, limitPerSecond} = record;
      if (record.removedAtMs !== undefined) continue;
      const ageMs = nowMs - limitAtMs;
      const isLimited = limitPerSecond !== undefined || ageMs <= endReportedMs;
      const brittle = this.brittle.report(record.service, target, nowMs);
      if (!isLimited && !leaving && !brittle) continue;
      const own = {target, bornMs, leaving, limitPerSecond, ageMs};
      // One row holds for all targets of its service, so it does not wait for its turn.
      if (brittle) all.unshift({...own, brittle});
      else all.push(own);
    }
    if (all.length <= maxReports) return all;
    const brittle = all.filter(report => report.brittle);
    const others = all.filter(report => !report.brittle);
    const first = this.reported % Math.max(1, others.length);
    this.reported = first + Math.max(0, maxReports - brittle.length);
    const turns = [...others.slice(first), ...others.slice(0, first)];
    return [...brittle, ...turns].slice(0, maxReports);
  }

  /**
   * Applies the reports of another host. For each target, the newest response counts.
   *
   * @param reports - Reports of the other host.
   * @param from - Name of the other host.
   * @param composedAtMs - Monotonic time before which the reports were not composed, in milliseconds.
   */
  merge(
    reports: readonly StatementReport[],
    from: string,
    composedAtMs: number,
  ): void {
    for (const report of reports) {
      const {target, bornMs, leaving, limitPerSecond, ageMs, brittle} = report;
      const record = this.records.get(target);
      if (record?.bornMs !== bornMs) continue;
      if (brittle) {
        const {service} = record;
        this.brittle.merge(service, target, brittle, from, composedAtMs);
      }
      if (leaving) this.setLeaving(record, target, from);
      if (limitPerSecond === undefined && record.limitPerSecond === undefined) {
        continue;
      }
      const atMs = composedAtMs - ageMs;
      // A limit of unknown age is better than none: after its start, a host cannot date the messages of others yet.
      const isFirst =
        record.limitAtMs === -Infinity && limitPerSecond !== undefined;
      if (atMs <= record.limitAtMs && !isFirst) continue;
      this.setLimit(record, target, limitPerSecond, atMs, from);
    }
  }

  /**
   * Counts a request to a target for the log.
   *
   * @param id - Id of the target.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  sent(id: string, nowMs: number): void {
    const record = this.records.get(id);
    if (record?.limitPerSecond === undefined) return;
    if (record.loggedAtMs === -Infinity) record.loggedAtMs = nowMs;
    const sinceMs = nowMs - record.loggedAtMs;
    if (sinceMs >= useLogIntervalMs) {
      const {limitPerSecond, sent} = record;
      this.logger.event('targetLimitUse', {
        target: id,
        limitPerSecond,
        sent,
        sinceMs: Math.round(sinceMs),
      });
      record.loggedAtMs = nowMs;
      record.sent = 0;
    }
    record.sent++;
  }

  /**
   * Records that a target was removed.
   *
   * @param id - Id of the target.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  removed(id: string, nowMs: number): void {
    const record = this.records.get(id);
    if (record) record.removedAtMs = nowMs;
    for (const [other, {removedAtMs = Infinity}] of this.records) {
      if (nowMs - removedAtMs > keptMs) this.records.delete(other);
    }
  }

  private setLeaving(
    record: StatementRecord,
    target: string,
    by: string,
  ): void {
    if (record.leaving) return;
    record.leaving = true;
    this.logger.event('targetDraining', {target, by});
  }

  private setLimit(
    record: StatementRecord,
    target: string,
    limitPerSecond: number | undefined,
    atMs: number,
    by: string,
  ): void {
    record.limitAtMs = atMs;
    if (record.limitPerSecond === limitPerSecond) return;
    record.limitPerSecond = limitPerSecond;
    this.logger.event('targetLimitChanged', {target, limitPerSecond, by});
  }
}
