import {LRUCache} from 'lru-cache';
import type {Tier} from '../../version/resources/kinds.js';
import type {QueuedRequest} from './types.js';

/** Maximum number of estimates, one per organisation and tier; about 100 bytes each. */
const maxEstimates = 2048;
/** Expected output length before the first observation, in tokens. */
const initialTokens = 128;
/** Weight of a new sample. */
const smoothingFactor = 0.05;

interface Estimate {
  /** Mean output length, in tokens. */
  mean: number;
  /** Mean of the natural logarithm of the output length. */
  logMean: number;
}

/** Learns the output lengths of each organisation and tier. */
export class LengthEstimates {
  private readonly estimates = new LRUCache<string, Estimate>({
    max: maxEstimates,
  });

  /** Mean output length in tokens, used for charges. */
  mean(req: QueuedRequest): number {
    if (req.promptTokens <= 1 && req.maxTokens === undefined) return 1;
    return clampToMaxTokens(this.find(req)?.mean ?? initialTokens, req);
  }

  /** Typical output length (geometric mean) in tokens, used for time estimates. */
  typical(req: QueuedRequest): number {
    if (req.promptTokens <= 1 && req.maxTokens === undefined) return 1;
    const estimate = this.find(req);
    return clampToMaxTokens(
      estimate ? Math.exp(estimate.logMean) : initialTokens,
      req,
    );
  }

  /** Updates the estimate with a complete response. */
  learn(req: QueuedRequest, tokens: number): void {
    const value = Math.max(1, tokens);
    const estimate = this.find(req);
    if (!estimate) {
      const logMean = Math.log(value);
      this.estimates.set(key(req), {mean: value, logMean});
      return;
    }
    estimate.mean += smoothingFactor * (value - estimate.mean);
    estimate.logMean += smoothingFactor * (Math.log(value) - estimate.logMean);
  }

  private find(req: QueuedRequest): Estimate | undefined {
    return this.estimates.get(key(req));
  }
}

function key(req: {organisation: string; tier: Tier}): string {
  return `${req.tier} ${req.organisation}`;
}

function clampToMaxTokens(tokens: number, req: QueuedRequest): number {
  return Math.max(1, Math.min(tokens, req.maxTokens ?? tokens));
}
