import type {Logger} from '../logger.js';

/** Minimum time between two log lines about the use of one limited target, in milliseconds. */
const useLogIntervalMs = 4000;

/** What a target says of itself in its responses. */
export interface TargetStatement {
  /** Requests per second that the target accepts from all hosts together; absent if it states no limit. */
  readonly limitPerSecond?: number;
}

/** Latest statement of one incarnation of a target. */
class StatementRecord implements TargetStatement {
  limitPerSecond?: number;
  /** Monotonic time of the latest response that states the limit, or that ended it, in milliseconds. */
  limitAtMs = -Infinity;
  /** Requests of this host since the last log line about them, and the monotonic time of that line. */
  sent = 0;
  loggedAtMs = -Infinity;

  /** @param bornMs - Unix time at which the target started, in milliseconds; identifies the incarnation. */
  constructor(readonly bornMs: number) {}
}

/** Keeps what targets say of themselves in their responses. */
export class TargetStatements {
  private readonly records = new Map<string, StatementRecord>();

  /** @param logger - Logger of the process. */
  constructor(private readonly logger: Logger) {}

  /**
   * Looks up what an incarnation of a target says.
   *
   * @param id - Id of the target.
   * @param bornMs - Unix time at which it started, in milliseconds.
   * @returns Live object that later responses update.
   */
  of(id: string, bornMs: number): TargetStatement {
    return this.recordOf(id, bornMs);
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
    stated: TargetStatement,
    sentAtMs: number,
    nowMs: number,
  ): void {
    const record = this.recordOf(id, bornMs);
    const {limitPerSecond} = stated;
    const ends =
      limitPerSecond === undefined &&
      record.limitPerSecond !== undefined &&
      sentAtMs > record.limitAtMs;
    if (limitPerSecond === undefined && !ends) return;
    const changed = record.limitPerSecond !== limitPerSecond;
    record.limitPerSecond = limitPerSecond;
    record.limitAtMs = nowMs;
    if (changed)
      this.logger.event('targetLimitChanged', {target: id, limitPerSecond});
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
   * Drops the statement of a target that was removed.
   *
   * @param id - Id of the target.
   */
  forget(id: string): void {
    this.records.delete(id);
  }

  private recordOf(id: string, bornMs: number): StatementRecord {
    let record = this.records.get(id);
    if (record?.bornMs !== bornMs) {
      record = new StatementRecord(bornMs);
      this.records.set(id, record);
    }
    return record;
  }
}
