import type {RefusalReason} from '../../request/refusals.js';
import type {OrganisationSpec} from '../../version/resources/kinds.js';
import {every, type Cancel, type Clock} from '../clock.js';
import type {MemberView} from '../member-view.js';
import {rankHosts} from '../ownership.js';

/** Reason of a refusal, and when a retry may succeed. */
export interface LimitRefusal {
  readonly reason: RefusalReason;
  /** Time until the limit allows a request, in milliseconds, if it is known. */
  readonly retryAfterMs?: number;
}

/** Usage of one organisation at this host. */
interface Usage {
  inFlight: number;
  /** Level of the token bucket, in requests; may be fractional. */
  tokens: number;
  /** Monotonic time of the last refill, in milliseconds. */
  refilledMs: number;
}

/** Time without requests after which the usage of an organisation is dropped, in milliseconds. */
const idleUsageMs = 60_000;
/** Interval between two searches for idle organisations, in milliseconds. */
const pruneIntervalMs = 30_000;

/**
 * Limits the requests of organisations. Each host enforces its share of each limit, and the shares of all
 * live hosts add up to the limit, so it holds without a message per request. The cost: an organisation whose
 * requests reach only some of the hosts is refused below its limit.
 */
export class OrganisationLimiter {
  private readonly usages = new Map<string, Usage>();

  /**
   * @param host - Id of this host.
   * @param hosts - Returns the ids of the hosts of the fleet that are not confirmed dead.
   */
  constructor(
    private readonly host: string,
    private readonly hosts: () => readonly string[],
  ) {}

  /**
   * Creates the limiter of a host.
   *
   * @param members - Membership as this host sees it.
   * @returns The limiter.
   */
  static forMember(members: MemberView): OrganisationLimiter {
    return new OrganisationLimiter(members.self.id, () =>
      members.live().map(({id}) => id),
    );
  }

  /** Number of organisations with tracked usage. */
  get organisations(): number {
    return this.usages.size;
  }

  /**
   * Admits and counts a request if the limits allow it.
   *
   * @param organisation - Name of the organisation.
   * @param limits - Limits for all hosts together, if any.
   * @param nowMs - Current time on the monotonic clock, in milliseconds.
   * @returns A refusal, or `undefined` if the request was counted; {@link end} must then be called once.
   */
  begin(
    organisation: string,
    limits: OrganisationSpec['limits'],
    nowMs: number,
  ): LimitRefusal | undefined {
    const usage = this.usage(organisation, nowMs);
    const {concurrency, requestsPerSecond} = limits ?? {};
    if (
      concurrency !== undefined &&
      usage.inFlight >= this.part(organisation, concurrency)
    ) {
      return {reason: 'concurrency-limited'};
    }
    if (requestsPerSecond !== undefined) {
      const rate = requestsPerSecond / this.hosts().length;
      const burst = Math.max(1, rate);
      const elapsedMs = nowMs - usage.refilledMs;
      usage.tokens = Math.min(burst, usage.tokens + (rate * elapsedMs) / 1000);
      usage.refilledMs = nowMs;
      if (usage.tokens < 1) {
        const retryAfterMs = ((1 - usage.tokens) / rate) * 1000;
        return {reason: 'rate-limited', retryAfterMs};
      }
      usage.tokens -= 1;
    }
    usage.inFlight += 1;
    return undefined;
  }

  /**
   * Records the end of a request that was counted.
   *
   * @param organisation - Name of the organisation.
   */
  end(organisation: string): void {
    const usage = this.usages.get(organisation);
    if (usage) usage.inFlight -= 1;
  }

  /**
   * Drops the usage of organisations without recent requests.
   *
   * @param nowMs - Current time on the monotonic clock, in milliseconds.
   */
  prune(nowMs: number): void {
    for (const [organisation, usage] of this.usages) {
      if (usage.inFlight === 0 && nowMs - usage.refilledMs > idleUsageMs) {
        this.usages.delete(organisation);
      }
    }
  }

  /**
   * Starts dropping idle organisations at intervals.
   *
   * @param clock - Clock of the process.
   * @returns A function that stops it.
   */
  startPruning(clock: Clock): Cancel {
    return every(clock, pruneIntervalMs, () => this.prune(clock.nowMs()));
  }

  /** Integer share of a limit for this host; the remainder of the division goes to the first hosts by rank. */
  private part(organisation: string, limit: number): number {
    const ranked = rankHosts(organisation, this.hosts());
    const rank = ranked.indexOf(this.host);
    const base = Math.floor(limit / ranked.length);
    return base + (rank < limit % ranked.length ? 1 : 0);
  }

  private usage(organisation: string, nowMs: number): Usage {
    let usage = this.usages.get(organisation);
    if (!usage) {
      usage = {inFlight: 0, tokens: 1, refilledMs: nowMs};
      this.usages.set(organisation, usage);
    }
    return usage;
  }
}
