import type {Logger} from '../logger.js';

/**
 * Time after the latest response that states it, in milliseconds, before a request must have been sent for its response to
 * end it. Targets of a service may say so at slightly different times.
 */
const endDelayMs = 1000;
/** Time for which the end is reported to other hosts, in milliseconds; long enough for some messages of each host. */
const endReportedMs = 6000;
/** Time for which the lowest number that a target states binds the service, in milliseconds. */
const lowestValidMs = 4000;
/** Minimum time between two log lines about unreadable statements of one service, in milliseconds. */
const unreadableLogIntervalMs = 10_000;

/** Whether the targets of a service are brittle. */
export interface ServiceBrittleness {
  /** Requests that each target may turn away in one second before it fails; absent if they are not brittle. */
  readonly rejectionsPerSecond?: number;
}

/** What a host reports to others about the targets of a service. */
export interface BrittleReport extends ServiceBrittleness {
  /** Time since the response that states it, or that ended it, in milliseconds. */
  readonly ageMs: number;
}

/** What a response says about it. */
export interface BrittleStatement extends ServiceBrittleness {
  /** Whether the target states a number that cannot be used. */
  readonly rejectionsUnreadable?: boolean;
}

/** Latest statement of the targets of one service. */
class ServiceRecord implements ServiceBrittleness {
  rejectionsPerSecond?: number;
  /** Target whose response set the number, and the monotonic time of the latest response that states it. */
  lowestBy = '';
  lowestAtMs = -Infinity;
  /** Target of the latest response, and its monotonic time, in milliseconds. */
  latestBy = '';
  latestAtMs = -Infinity;
  unreadableAtMs = -Infinity;

  constructor(readonly name: string) {}
}

/**
 * Keeps which services have brittle targets. All targets of a service say so at the same time, so that a response of one of
 * them counts for the others, also for one that has just started.
 */
export class BrittleServices {
  private readonly records = new Map<string, ServiceRecord>();

  /** @param logger - Logger of the process. */
  constructor(private readonly logger: Logger) {}

  /**
   * Looks up whether the targets of a service are brittle.
   *
   * @param service - Name of the service.
   * @returns Live object that later responses update.
   */
  of(service: string): ServiceBrittleness {
    return this.recordOf(service);
  }

  /**
   * Records what a response states.
   *
   * @param service - Name of the service.
   * @param target - Id of the target.
   * @param stated - Content of the response.
   * @param sentAtMs - Monotonic time at which the request was sent, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  record(
    service: string,
    target: string,
    stated: BrittleStatement,
    sentAtMs: number,
    nowMs: number,
  ): void {
    const record = this.recordOf(service);
    if (stated.rejectionsUnreadable) {
      if (nowMs - record.unreadableAtMs < unreadableLogIntervalMs) return;
      record.unreadableAtMs = nowMs;
      this.logger.event('targetBrittleUnreadable', {service, target});
      return;
    }
    const {rejectionsPerSecond} = stated;
    if (rejectionsPerSecond !== undefined) {
      this.set(record, target, rejectionsPerSecond, nowMs, 'response');
    } else if (
      record.rejectionsPerSecond !== undefined &&
      sentAtMs > record.latestAtMs + endDelayMs
    ) {
      this.set(record, target, undefined, nowMs, 'response');
    }
  }

  /**
   * Builds the report about a service that goes with the statements of one of its targets.
   *
   * @param service - Name of the service.
   * @param target - Id of the target.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The report; `undefined` if there is nothing to report, or if it goes with another target.
   */
  report(
    service: string,
    target: string,
    nowMs: number,
  ): BrittleReport | undefined {
    const record = this.records.get(service);
    if (record?.latestBy !== target) return undefined;
    const {rejectionsPerSecond, latestAtMs} = record;
    const ageMs = nowMs - latestAtMs;
    if (rejectionsPerSecond === undefined && ageMs > endReportedMs) {
      return undefined;
    }
    return {rejectionsPerSecond, ageMs};
  }

  /**
   * Applies the report of another host. The newest response counts.
   *
   * @param service - Name of the service.
   * @param target - Id of the target with whose statements the report came.
   * @param report - The report.
   * @param from - Name of the other host.
   * @param composedAtMs - Monotonic time before which the report was not composed, in milliseconds.
   */
  merge(
    service: string,
    target: string,
    {rejectionsPerSecond, ageMs}: BrittleReport,
    from: string,
    composedAtMs: number,
  ): void {
    const record = this.recordOf(service);
    const atMs = composedAtMs - ageMs;
    // A statement of unknown age is better than none.
    const isFirst =
      record.latestAtMs === -Infinity && rejectionsPerSecond !== undefined;
    if (atMs <= record.latestAtMs && !isFirst) return;
    if (
      rejectionsPerSecond === undefined &&
      record.rejectionsPerSecond === undefined
    ) {
      return;
    }
    this.set(record, target, rejectionsPerSecond, atMs, from);
  }

  private recordOf(service: string): ServiceRecord {
    let record = this.records.get(service);
    if (!record) {
      record = new ServiceRecord(service);
      this.records.set(service, record);
    }
    return record;
  }

  private set(
    record: ServiceRecord,
    target: string,
    rejectionsPerSecond: number | undefined,
    atMs: number,
    by: string,
  ): void {
    const {name: service, rejectionsPerSecond: before} = record;
    record.latestBy = target;
    record.latestAtMs = atMs;
    if (rejectionsPerSecond === undefined) {
      record.rejectionsPerSecond = undefined;
      record.lowestAtMs = -Infinity;
      if (before === undefined) return;
      this.logger.event('targetsBrittleEnded', {service, target, by});
      return;
    }
    const isLowest =
      before === undefined ||
      rejectionsPerSecond <= before ||
      target === record.lowestBy ||
      atMs - record.lowestAtMs > lowestValidMs;
    if (!isLowest) return;
    record.rejectionsPerSecond = rejectionsPerSecond;
    record.lowestBy = target;
    record.lowestAtMs = atMs;
    if (before === rejectionsPerSecond) return;
    this.logger.event('targetsBrittle', {
      ...{service, rejectionsPerSecond, target, by},
    });
  }
}
