import type {RefusalReason} from '../refusals.js';

/** Limits of an organisation, scaled to this owner's share. */
export interface OrganisationLimit {
  /** Maximum rate, in requests per second. */
  readonly requestsPerSecond?: number;
  /** Maximum number of requests waiting or in flight. */
  readonly concurrency?: number;
}

/** Current use of the limits by an organisation. */
interface Usage {
  /** Number of requests waiting or in flight. */
  active: number;
  /** Tokens in the bucket of the rate limit; a request takes one. */
  tokens: number;
  /** Time at which the bucket was last refilled, in milliseconds. */
  refilledMs: number;
}

/** Enforces rate and concurrency limits of organisations. */
export class OrganisationLimits {
  private limits: ReadonlyMap<string, OrganisationLimit> = new Map();
  private readonly usage = new Map<string, Usage>();

  /** Replaces all limits; organisations without one are not limited. */
  set(limits: ReadonlyMap<string, OrganisationLimit>): void {
    this.limits = limits;
    for (const [name, {active}] of this.usage) {
      if (active === 0 && !limits.has(name)) this.usage.delete(name);
    }
  }

  /**
   * Checks an arriving request against the limits of its organisation, and counts it.
   *
   * @param organisation - Organisation that sent it.
   * @param retry - Whether it is a retry, which was counted against the rate at the first attempt.
   * @param nowMs - Time of arrival.
   * @returns The reason to refuse it, or undefined if it was counted.
   */
  admit(
    organisation: string,
    retry: boolean,
    nowMs: number,
  ): RefusalReason | undefined {
    const limit = this.limits.get(organisation);
    const usage = this.usageOf(organisation, nowMs);
    if (limit?.concurrency !== undefined && usage.active >= limit.concurrency) {
      return 'concurrency-limited';
    }
    if (limit?.requestsPerSecond !== undefined && !retry) {
      const rate = limit.requestsPerSecond;
      // A burst may contain the requests of one second.
      const burst = Math.max(1, rate);
      const earned = ((nowMs - usage.refilledMs) * rate) / 1000;
      usage.tokens = Math.min(burst, usage.tokens + earned);
      usage.refilledMs = nowMs;
      if (usage.tokens < 1) return 'rate-limited';
      usage.tokens -= 1;
    }
    usage.active++;
    return undefined;
  }

  /** Counts a running request that was admitted by an earlier owner. */
  adopted(organisation: string, nowMs: number): void {
    this.usageOf(organisation, nowMs).active++;
  }

  /** Counts the end of a request, whether it ran or was refused after it had been admitted. */
  ended(organisation: string): void {
    const usage = this.usage.get(organisation);
    if (!usage) return;
    usage.active--;
    if (usage.active <= 0 && !this.limits.has(organisation)) {
      this.usage.delete(organisation);
    }
  }

  private usageOf(organisation: string, nowMs: number): Usage {
    let usage = this.usage.get(organisation);
    if (!usage) {
      usage = {active: 0, tokens: Number.MAX_VALUE, refilledMs: nowMs};
      this.usage.set(organisation, usage);
    }
    return usage;
  }
}
