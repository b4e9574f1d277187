import {LRUCache} from 'lru-cache';
import type {Tier} from '../../version/resources/kinds.js';
import type {QueuedRequest} from './types.js';

/** Organisations and tiers with an estimate; about 100 bytes each. */
const maxEstimates = 2048;
/** Expected output before anything was observed, in tokens. */
const initialTokens = 128;
const smoothingFactor = 0.05;

interface Estimate {
  mean: number;
  logMean: number;
}

/** Learns the output lengths of each organisation and tier. */
export class LengthEstimates {
  private readonly estimates = new LRUCache<string, Estimate>({
    max: maxEstimates,
  });

  /** Mean output length, for charges; in tokens. */
  mean(req: QueuedRequest): number {
    if (req.promptTokens <= 1 && req.maxTokens === undefined) return 1;
    return clampToMaxTokens(this.find(req)?.mean ?? initialTokens, req);
  }

  /** Typical (geometric mean) output length, for times; in tokens. */
  typical(req: QueuedRequest): number {
    if (req.promptTokens <= 1 && req.maxTokens === undefined) return 1;
    const estimate = this.find(req);
    return clampToMaxTokens(
      estimate ? Math.exp(estimate.logMean) : initialTokens,
      req,
    );
  }

  /** Learns from a complete answer. */
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
