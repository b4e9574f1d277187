import type {Random} from '../../stand-ins/seeded-random.js';
import type {Tier} from '../../src/version/resources/kinds.js';

/** A request of the bench, with what only the oracle may know. */
export interface SimRequest {
  readonly id: string;
  readonly host: number;
  readonly organisation: string;
  readonly tier: Tier;
  readonly arrivalMs: number;
  readonly promptTokens: number;
  /** True output length. */
  readonly outputTokens: number;
  readonly maxTokens: number | undefined;
  readonly prefixes: readonly string[];
  /** Number of leading prefixes that other requests share. */
  readonly sharedBlocks: number;
  readonly timeoutMs: number;
  /** Bound of the time to first token that counts as good, if the tier has one. */
  readonly firstTokenMs: number | undefined;
}

/** Shape of the offered load. */
export interface WorkloadCfg {
  readonly hosts: number;
  readonly organisations: number;
  /** Requests per second by tier. */
  readonly ratePerTier: readonly number[];
  readonly fromMs: number;
  readonly untilMs: number;
  /** Factor on the load of the first organisation while it bursts. */
  readonly burst?: {factor: number; fromMs: number; untilMs: number};
}

/** Tokens in one prefix block; the same as in the engine model. */
export const blockTokens = 256;
/** Shared prompts of all organisations together take more than twice an engine's cache. */
const templatesPerOrganisation = 40;
/** Shortest and longest output; a hundredfold range. */
const minOutput = 16;
const maxOutput = 1600;

/**
 * Draws the requests of a run.
 *
 * @param cfg - Shape of the load.
 * @param random - Source of random numbers.
 * @returns Requests in order of arrival.
 */
export function drawRequests(cfg: WorkloadCfg, random: Random): SimRequest[] {
  const requests: SimRequest[] = [];
  for (let org = 0; org < cfg.organisations; org++) {
    for (let tier = 0; tier < cfg.ratePerTier.length; tier++) {
      const rate = cfg.ratePerTier[tier] / cfg.organisations / 1000;
      if (rate <= 0) continue;
      let atMs = cfg.fromMs;
      for (;;) {
        const {burst} = cfg;
        const factor =
          burst && org === 0 && atMs >= burst.fromMs && atMs < burst.untilMs
            ? burst.factor
            : 1;
        atMs += -Math.log(1 - random()) / (rate * factor);
        if (atMs >= cfg.untilMs) break;
        requests.push(drawRequest(cfg, org, tier as Tier, atMs, random));
      }
    }
  }
  requests.sort((a, b) => a.arrivalMs - b.arrivalMs);
  return requests.map((req, i) => ({...req, id: `r${i}`}));
}

function drawRequest(
  cfg: WorkloadCfg,
  org: number,
  tier: Tier,
  arrivalMs: number,
  random: Random,
): SimRequest {
  const template = zipf(templatesPerOrganisation, random);
  const sharedBlocks = 2 + (template % 7);
  const ownTokens = 32 + Math.floor(boundedPareto(16, 1600, 0.9, random));
  const promptTokens = sharedBlocks * blockTokens + ownTokens;
  const outputTokens = Math.floor(
    boundedPareto(minOutput, maxOutput, 0.7, random),
  );
  const own = Math.floor(random() * 2 ** 31).toString(36);
  const prefixes = Array.from(
    {length: Math.floor(promptTokens / blockTokens)},
    (_, i) =>
      i < sharedBlocks ? `${org}.${template}.${i}` : `${org}.${own}.${i}`,
  );
  return {
    id: '',
    host: Math.floor(random() * cfg.hosts),
    organisation: `org${org}`,
    tier,
    arrivalMs,
    promptTokens,
    outputTokens,
    maxTokens:
      random() < 0.5 ? Math.min(maxOutput, outputTokens * 4) : undefined,
    prefixes,
    sharedBlocks,
    timeoutMs: tier <= 1 ? 45_000 : 60_000,
    firstTokenMs: tier === 0 ? 1000 : undefined,
  };
}

function boundedPareto(
  low: number,
  high: number,
  shape: number,
  random: Random,
): number {
  const tail = 1 - random() * (1 - (low / high) ** shape);
  return low * tail ** (-1 / shape);
}

/** Rank drawn with probability proportional to 1 / (rank + 1). */
function zipf(count: number, random: Random): number {
  let total = 0;
  for (let i = 1; i <= count; i++) total += 1 / i;
  let left = random() * total;
  for (let i = 1; i <= count; i++) {
    left -= 1 / i;
    if (left <= 0) return i - 1;
  }
  return count - 1;
}
