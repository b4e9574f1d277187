import type {Metrics} from './metrics.js';

/** Measurements by `scenario/policy`. */
export type Results = Map<string, Metrics>;

const proposed = '(c) group owner';
const baselines = [
  'round robin',
  'least outstanding',
  '(a) two choices',
  '(b) static share',
];

/** Says for each goal whether it was met. */
export function goals(results: Results): string {
  const get = (scenario: string, policy = proposed): Metrics => {
    const metrics = results.get(`${scenario}/${policy}`);
    if (!metrics) throw new Error(`no result for ${scenario}/${policy}`);
    return metrics;
  };
  const lines: string[] = [];
  const state = (text: string, value: number, met: boolean): void => {
    lines.push(`- ${text}: ${value.toFixed(3)}, ${met ? 'met' : 'missed'}`);
  };
  for (const total of ['1.0', '1.5', '3']) {
    const {good, offered} = get(`top 0.8 of ${total}`).byTier[0];
    const value = good / offered;
    state(
      `top-tier goodput at total load ${total} ≥ 0.99`,
      value,
      value >= 0.99,
    );
  }
  for (const load of ['1.5', '3']) {
    const name = `load ${load}`;
    const own = get(name).good;
    const share = own / get(name, 'oracle').good;
    state(`goodput at ${load} ≥ 0.92 of the oracle's`, share, share >= 0.92);
    const best = Math.max(...baselines.map(policy => get(name, policy).good));
    state(
      `goodput at ${load} over the best baseline's > 1`,
      own / best,
      own > best,
    );
  }
  for (const load of ['0.7', '1.0', '1.5', '3']) {
    const name = `load ${load}`;
    // Per good answer, since a policy that answers little wastes little.
    const perGood = (policy: string): number =>
      get(name, policy).wasted / Math.max(1, get(name, policy).good);
    const best = Math.min(...baselines.map(perGood));
    const value = perGood(proposed) / best;
    state(
      `wasted prefill per good answer at ${load} ≤ 0.5 of the best baseline's`,
      value,
      value <= 0.5,
    );
    const total =
      get(name).wasted /
      Math.min(...baselines.map(policy => get(name, policy).wasted));
    state(
      `wasted prefill in total at ${load} ≤ 0.5 of the best baseline's`,
      total,
      total <= 0.5,
    );
  }
  let overCold = 0;
  let overWarm = 0;
  for (const [key, metrics] of results) {
    if (!key.endsWith(`/${proposed}`)) continue;
    overCold += metrics.overCold;
    overWarm = Math.max(overWarm, metrics.overWarmMs / metrics.engineMs);
  }
  state(
    'submissions over the bearable concurrency of cold engines = 0',
    overCold,
    overCold === 0,
  );
  state(
    'time over the bearable concurrency of warm engines ≤ 0.01',
    overWarm,
    overWarm <= 0.01,
  );
  const burst = get('burst');
  const small = [...burst.byOrganisation.keys()].filter(
    name => name !== 'org0',
  );
  const fair = Math.min(...small.map(name => partOfFairShare(burst, name)));
  state(
    'goodput of the smallest organisation beside a burst ≥ 0.95 of its fair share',
    fair,
    fair >= 0.95,
  );
  return lines.join('\n');
}

/**
 * Goodput of an organisation in parts of its fair share. Tiers come strictly before each other, so
 * the share is the sum of the max-min fair parts of what each tier was given.
 */
function partOfFairShare(metrics: Metrics, name: string): number {
  let good = 0;
  let fair = 0;
  for (const tier of metrics.byBoth) {
    const own = tier.get(name);
    if (!own) continue;
    good += own.good;
    fair += Math.min(own.offered, fairPart([...tier.values()]));
  }
  return good / fair;
}

/** Max-min fair part of the answered requests for each organisation. */
function fairPart(counts: readonly {offered: number; good: number}[]): number {
  const offered = counts.map(one => one.offered).sort((a, b) => a - b);
  let left = counts.reduce((sum, one) => sum + one.good, 0);
  for (let i = 0; i < offered.length; i++) {
    const share = left / (offered.length - i);
    if (offered[i] > share) return share;
    left -= offered[i];
  }
  return Infinity;
}
