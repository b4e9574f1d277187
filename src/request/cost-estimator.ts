import {LRUCache} from 'lru-cache';

/** Ratio of the bounds of adjacent buckets. */
const bucketRatio = 1.25;
/** Buckets up to about 1.3 million tokens. */
const bucketCount = 64;
/** Weight of all earlier completions when one is added; recent ones dominate after about 100. */
const decay = 0.99;
/** 290 organisations on 8 services are 2,320 pairs; each takes 256 bytes. */
const maxPairs = 4096;
/** Completions before the estimate is used instead of the default. */
const minWeight = 4;

/** Recent completions of one organisation at one service, in buckets of exponential width. */
interface TokenHistogram {
  readonly counts: Float32Array;
  weight: number;
}

/** Settings of a {@link CostEstimator}. */
export interface CostEstimatorOptions {
  /** Share of completions that are at most as long as the estimate, 0 to 1. */
  readonly quantile?: number;
  /** Estimate without evidence, in tokens. */
  readonly defaultTokens?: number;
}

/** Estimates how many tokens a request will generate, from recent completions. */
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
   * Records a completion.
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
   * Estimates a request.
   *
   * @param organisation - Organisation of the request.
   * @param service - Service of the request.
   * @param maxTokens - Bound stated by the caller, if any.
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
