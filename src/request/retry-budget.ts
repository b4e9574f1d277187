/** Bounds the retries of all requests together, so that retries cannot multiply an overload. */
export abstract class RetryBudget {
  /** Records a request that was answered. */
  abstract recordSuccess(): void;

  /** @returns Whether a retry is allowed; if so, it has been taken from the budget. */
  abstract take(): boolean;
}

/** Limits of a {@link TokenBucketRetryBudget}. */
export interface RetryBudgetLimits {
  /** Retries earned by each success, 0 to 1. */
  readonly share: number;
  /** Greatest number of retries that can be saved up; also the number at the start. */
  readonly capacity: number;
}

/** Default limits: one retry for five successes, so that at most a sixth of the load is retries. */
export const defaultRetryBudget: RetryBudgetLimits = {
  share: 0.2,
  capacity: 100,
};

/** Budget of one process. */
export class TokenBucketRetryBudget extends RetryBudget {
  private tokens: number;

  /**
   * @param limits - Share and capacity.
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
