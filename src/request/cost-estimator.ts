import {LRUCache} from 'lru-cache';

/** Ratio of the upper bounds of adjacent buckets. */
const bucketRatio = 1.25;
/** Number of buckets; they reach to about 1.3 million tokens. */
const bucketCount = 64;
/** Factor on the weight of earlier completions when one is added; the last 100 or so dominate. */
const decay = 0.99;
/**
 * Maximum number of pairs of organisation and service, at 256 bytes each. 290 organisations on 8
 * services are 2,320 pairs.
 */
const maxPairs = 4096;
/** Weighted number of completions from which the estimate replaces the default. */
const minWeight = 4;

/** Histogram of recent completion lengths of one organisation at one service, in exponential buckets. */
interface TokenHistogram {
  readonly counts: Float32Array;
  weight: number;
}

/** Settings of a {@link CostEstimator}. */
export interface CostEstimatorOptions {
  /** Quantile of completion lengths that is used as the estimate, 0 to 1. */
  readonly quantile?: number;
  /** Estimate while there are too few completions, in tokens. */
  readonly defaultTokens?: number;
}

/** Estimates how many tokens a request will generate, from the lengths of recent completions. */
export class CostEstimator {
  private readonly histograms = new LRUCache<string, TokenHistogram>({
    max: maxPairs,
  });
  private readonly quantile: number;
  private readonly defaultTokens: number;

  /**
   * @param options - Quantile and default.
   */
  constructor(options: CostEstimatorOptions = {}) {
    this.quantile = options.quantile ?? 0.8;
    this.defaultTokens = options.defaultTokens ?? 256;
  }

  /**
   * Adds the length of a completion.
   *
   * @param organisation - Organisation of the request.
   * @param service - Service of the request.
   * @param tokens - Tokens generated.
   */
  record(organisation: string, service: string, tokens: number): void {
    const key = `${organisation} ${service}`;
    let histogram = this.histograms.get(key);
    if (!histogram) {
      histogram = {counts: new Float32Array(bucketCount), weight: 0};
      this.histograms.set(key, histogram);
    }
    for (let i = 0; i < bucketCount; i++) histogram.counts[i] *= decay;
    histogram.counts[bucketOf(tokens)] += 1;
    histogram.weight = histogram.weight * decay + 1;
  }

  /**
   * Estimates the number of tokens that a request will generate.
   *
   * @param organisation - Organisation of the request.
   * @param service - Service of the request.
   * @param maxTokens - Maximum stated by the caller, if any.
   * @returns Tokens, at least 1 and at most `maxTokens`.
   */
  estimate(organisation: string, service: string, maxTokens?: number): number {
    const histogram = this.histograms.get(`${organisation} ${service}`);
    const tokens =
      histogram && histogram.weight >= minWeight
        ? this.readQuantile(histogram)
        : this.defaultTokens;
    return Math.max(1, Math.min(tokens, maxTokens ?? Infinity));
  }

  private readQuantile({counts, weight}: TokenHistogram): number {
    let remaining = this.quantile * weight;
    for (let i = 0; i < bucketCount; i++) {
      remaining -= counts[i];
      if (remaining <= 0) return Math.round(bucketRatio ** i);
    }
    return Math.round(bucketRatio ** (bucketCount - 1));
  }
}

function bucketOf(tokens: number): number {
  const bucket = Math.ceil(
    Math.log(Math.max(1, tokens)) / Math.log(bucketRatio) - 1e-9,
  );
  return Math.min(bucketCount - 1, bucket);
}
