/** Weight of a new sample in the moving averages. */
const sampleWeight = 0.05;
/** Response length on a route without samples, in tokens. */
const defaultTokens = 200;
/** Variance of log lengths on a route without samples; a standard deviation is a factor of 2.7. */
const defaultVariance = 1;
/** Variance of log(length / caller's estimate) without samples; a deviation is a factor of 1.65. */
const defaultHintVariance = 0.25;
/** Minimum variance, because a few similar samples do not make an estimate certain. */
const minVariance = 0.01;
/** Standard deviations above the median from which a response counts as long: one in six. */
const longDeviations = 1;

/** Estimated length of a response, in tokens. */
export interface ResponseLength {
  /** Expected length. */
  readonly mean: number;
  /** Length that five of six such responses stay below. */
  readonly long: number;
}

/**
 * Estimates the length of a route's responses from past lengths and callers' estimates, weighted by
 * their past accuracy. Lengths and errors vary by factors, so both are tracked as logarithms.
 */
export class LengthEstimator {
  private logMean = Math.log(defaultTokens);
  private variance = defaultVariance;
  private hintVariance = defaultHintVariance;

  /**
   * Records the length of a completed response.
   *
   * @param tokens - Generated tokens; 0 is ignored.
   * @param hint - The caller's estimate in tokens, if stated.
   */
  record(tokens: number, hint: number | undefined): void {
    if (tokens <= 0) return;
    const deviation = Math.log(tokens) - this.logMean;
    this.logMean += sampleWeight * deviation;
    this.variance += sampleWeight * (deviation * deviation - this.variance);
    if (!hint) return;
    const error = Math.log(tokens / hint);
    this.hintVariance += sampleWeight * (error * error - this.hintVariance);
  }

  /**
   * Estimates the length of a response.
   *
   * @param hint - The caller's estimate in tokens, if stated.
   * @returns Mean and long estimate.
   */
  estimate(hint: number | undefined): ResponseLength {
    const lengthVariance = Math.max(minVariance, this.variance);
    const hintVariance = Math.max(minVariance, this.hintVariance);
    const hintWeight = hint
      ? lengthVariance / (lengthVariance + hintVariance)
      : 0;
    const logMedian =
      hintWeight * Math.log(hint || 1) + (1 - hintWeight) * this.logMean;
    const variance = hint ? hintWeight * hintVariance : lengthVariance;
    return {
      mean: Math.exp(logMedian + variance / 2),
      long: Math.exp(logMedian + longDeviations * Math.sqrt(variance)),
    };
  }
}
