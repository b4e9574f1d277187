/** Limits the retries of all requests together, so that retries cannot amplify an overload. */
export abstract class RetryBudget {
  /** Records a request whose response was relayed completely. */
  abstract recordSuccess(): void;

  /** @returns Whether a retry is allowed; if so, it was deducted from the budget. */
  abstract take(): boolean;
}

/** Settings of a {@link TokenBucketRetryBudget}. */
export interface RetryBudgetLimits {
  /** Number of retries earned by each success, 0 to 1. */
  readonly share: number;
  /** Maximum and initial number of retries in the bucket. */
  readonly capacity: number;
}

/** Default settings: one retry for five successes, so that at most a sixth of the load is retries. */
export const defaultRetryBudget: RetryBudgetLimits = {
  share: 0.2,
  capacity: 100,
};

/** Retry budget of one process, as a token bucket that successes refill. */
export class TokenBucketRetryBudget extends RetryBudget {
  private tokens: number;

  /**
   * @param limits - Refill per success and capacity.
   */
  constructor(private readonly limits: RetryBudgetLimits = defaultRetryBudget) {
    super();
    this.tokens = limits.capacity;
  }

  override recordSuccess(): void {
    const {share, capacity} = this.limits;
    this.tokens = Math.min(capacity, this.tokens + share);
  }

  override take(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
