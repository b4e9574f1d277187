import type {EventName} from './events/catalogue.js';
import {events} from './events/catalogue.js';
import type {Logger} from './logger.js';

/** Lines a second that a process writes about requests, by importance; warnings go first. */
const maxLinesPerSecond = {info: 60, warn: 120} as const;

/**
 * Writes one line for each decision about a request, within a bound. Lines beyond it are counted, so
 * that a reader knows that some are missing.
 */
export class DecisionLog {
  private readonly left = {...maxLinesPerSecond} as Record<
    'info' | 'warn',
    number
  >;
  private refilledAtMs = 0;
  private dropped = 0;

  /**
   * @param logger - Where lines go.
   * @param nowMs - Reads the process's clock, in milliseconds.
   */
  constructor(
    private readonly logger: Logger,
    private readonly nowMs: () => number,
  ) {}

  /**
   * Writes a line unless the bound is reached.
   *
   * @param name - Name in the event catalogue.
   * @param fields - Id of the request, inputs of the decision and its outcome.
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
