/** Weight of a new sample. */
const sampleWeight = 0.05;
/** Tokens of an answer on a route without samples. */
const defaultTokens = 200;
/** Variance of the logarithm of lengths on a route without samples; lengths differ by a factor of 2.7. */
const defaultVariance = 1;
/** The same of the ratio of a length to the caller's estimate; that is off by a factor of 1.65. */
const defaultHintVariance = 0.25;
/** Least variances; samples that happen to be alike do not make an estimate certain. */
const minVariance = 0.01;
/** Standard deviations above the middle at which an answer counts as long: one answer in six. */
const longDeviations = 1;

/** Estimated length of an answer, in tokens. */
export interface ResponseLength {
  /** What it will have on average. */
  readonly mean: number;
  /** What five of six such answers stay below. */
  readonly long: number;
}

/**
 * Learns how long the answers of a route are and how far callers' estimates can be trusted. Lengths and
 * errors spread by factors, so both are kept as logarithms.
 */
export class LengthEstimator {
  private logMean = Math.log(defaultTokens);
  private variance = defaultVariance;
  private hintVariance = defaultHintVariance;

  /**
   * Learns from an answer that has ended.
   *
   * @param tokens - Tokens of the answer.
   * @param hint - The caller's estimate, if it stated one.
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
   * Estimates the length of an answer.
   *
   * @param hint - The caller's estimate, if it stated one.
   * @returns Its length.
   */
  estimate(hint: number | undefined): ResponseLength {
    const lengthVariance = Math.max(minVariance, this.variance);
    const error = Math.max(minVariance, this.hintVariance);
    const hintWeight = hint ? lengthVariance / (lengthVariance + error) : 0;
    const logMedian =
      hintWeight * Math.log(hint || 1) + (1 - hintWeight) * this.logMean;
    const variance = hint ? hintWeight * error : lengthVariance;
    return {
      mean: Math.exp(logMedian + variance / 2),
      long: Math.exp(logMedian + longDeviations * Math.sqrt(variance)),
    };
  }
}
