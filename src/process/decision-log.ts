import type {EventName} from './events/catalogue.js';
import {events} from './events/catalogue.js';
import type {Logger} from './logger.js';

/** Maximum log lines about requests per second, by level; separate limits, so that info lines displace no warnings. */
const maxLinesPerSecond = {info: 60, warn: 120} as const;

/**
 * Rate-limited log of decisions about requests, one line each. Lines beyond the limit are dropped and
 * counted; the event `linesDropped` reports how many.
 */
export class DecisionLog {
  /** Lines that may still be written in the current second. */
  private readonly left = {...maxLinesPerSecond} as Record<
    'info' | 'warn',
    number
  >;
  private refilledAtMs = 0;
  private dropped = 0;

  /**
   * @param logger - Receives the lines within the limit.
   * @param nowMs - Returns the monotonic time in milliseconds.
   */
  constructor(
    private readonly logger: Logger,
    private readonly nowMs: () => number,
  ) {}

  /**
   * Writes a line unless the limit of its level is reached.
   *
   * @param name - Name in the event catalogue.
   * @param fields - Request id, inputs of the decision and its outcome.
   */
  log(name: EventName, fields: Record<string, unknown>): void {
    this.refill();
    const level = events[name].level === 'info' ? 'info' : 'warn';
    if (this.left[level] < 1) {
      this.dropped++;
      return;
    }
    this.left[level]--;
    this.logger.event(name, fields);
  }

  private refill(): void {
    const nowMs = this.nowMs();
    if (nowMs - this.refilledAtMs < 1000) return;
    this.refilledAtMs = nowMs;
    this.left.info = maxLinesPerSecond.info;
    this.left.warn = maxLinesPerSecond.warn;
    if (this.dropped === 0) return;
    this.logger.event('linesDropped', {lines: this.dropped});
    this.dropped = 0;
  }
}
