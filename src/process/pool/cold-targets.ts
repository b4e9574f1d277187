import type {Logger} from '../logger.js';
import type {PooledTarget} from './pooled-target.js';

/** How a host learns that a target is cold. */
export const coldSources = {
  /** The target's entry in the store. */
  entry: 'entry',
  /** A response of the target. */
  response: 'response',
  /** No connection to the target could be opened, so it may have restarted. */
  unreachable: 'unreachable',
} as const;

/** One of {@link coldSources}. */
export type ColdSource = (typeof coldSources)[keyof typeof coldSources];

/** Minimum time between two log lines about the use of one cold target, in milliseconds. */
const useLogIntervalMs = 1000;

/** Requests of this host to one cold target since the last log line. */
interface ColdUse {
  sent: number;
  sinceMs: number;
}

/** Logs which targets this host knows to be cold, and how many requests it sends to them. */
export class ColdTargets {
  private readonly uses = new Map<string, ColdUse>();
  /** Times until which targets were known to be cold when it was logged, in milliseconds. */
  private readonly knownUntilMs = new Map<string, number>();

  /** What this host saw of removed targets: until when they are cold, in milliseconds, by id. */
  private readonly observed = new Map<
    string,
    {readonly bornMs: number; readonly untilMs: number}
  >();

  /**
   * @param logger - Logger of the process.
   * @param onSent - Called for each request to a target that is known to be cold.
   */
  constructor(
    private readonly logger: Logger,
    private readonly onSent: () => void = () => {},
  ) {}

  /**
   * Logs if a target has become cold, or is no longer cold before the time that was known.
   *
   * @param target - Target.
   * @param by - How this host knows.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  check(target: PooledTarget, by: ColdSource, nowMs: number): void {
    const {coldUntilMs, entry} = target;
    const {id} = entry;
    const wasCold = (this.knownUntilMs.get(id) ?? 0) > nowMs;
    if (coldUntilMs > nowMs) this.knownUntilMs.set(id, coldUntilMs);
    else this.knownUntilMs.delete(id);
    if (coldUntilMs > nowMs && !wasCold) {
      const coldMs = Math.round(coldUntilMs - nowMs);
      this.logger.event('targetCold', {target: id, coldMs, by});
    } else if (coldUntilMs <= nowMs && wasCold) {
      this.logger.event('targetWarm', {target: id, by});
    }
  }

  /**
   * Takes a target for cold by what this host saw.
   *
   * @param target - Target.
   * @param coldMs - Time from now, in milliseconds.
   * @param by - How this host knows.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  extend(
    target: PooledTarget,
    coldMs: number,
    by: ColdSource,
    nowMs: number,
  ): void {
    target.extendCold(nowMs + coldMs);
    this.check(target, by, nowMs);
  }

  /**
   * Counts a request to a target.
   *
   * @param target - Target that was chosen.
   * @param hosts - Number of hosts among which this one divides the limit.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  sent(target: PooledTarget, hosts: number, nowMs: number): void {
    if (target.coldUntilMs <= nowMs) return;
    this.onSent();
    const {id} = target.entry;
    let use = this.uses.get(id);
    if (!use) {
      use = {sent: 0, sinceMs: nowMs};
      this.uses.set(id, use);
    }
    use.sent++;
    const sinceMs = nowMs - use.sinceMs;
    if (sinceMs < useLogIntervalMs) return;
    const {sent} = use;
    this.logger.event('targetColdUse', {target: id, sent, sinceMs, hosts});
    this.uses.delete(id);
  }

  /**
   * Drops what was counted for a target that was removed, and keeps what this host saw: the target may only have been
   * unable to write its entry.
   *
   * @param target - Target that was removed.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  removed({entry, observedColdUntilMs}: PooledTarget, nowMs: number): void {
    const {id, bornMs} = entry;
    this.uses.delete(id);
    this.knownUntilMs.delete(id);
    this.observed.set(id, {bornMs, untilMs: observedColdUntilMs});
    for (const [each, {untilMs}] of this.observed) {
      if (untilMs <= nowMs) this.observed.delete(each);
    }
  }

  /**
   * Applies to a target what this host saw of the same incarnation before it was removed.
   *
   * @param target - Target that was added.
   */
  added(target: PooledTarget): void {
    const {id, bornMs} = target.entry;
    const seen = this.observed.get(id);
    this.observed.delete(id);
    if (seen?.bornMs === bornMs) target.extendCold(seen.untilMs);
  }
}
