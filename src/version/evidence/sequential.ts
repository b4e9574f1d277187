/** Hits above which a table is scaled down; losing information only weakens the evidence. */
const maxTableHits = 300;

/** 2×2 table of one route, zone and period: hits of the new and of the old version. */
export interface Table {
  readonly newTotal: number;
  readonly newHits: number;
  readonly oldTotal: number;
  readonly oldHits: number;
}

/**
 * Computes log likelihood ratios of odds ratios against equal odds, given the margins of the table. The
 * expectation of each ratio is at most 1 if the odds of the new version are not on the side of the
 * alternative, whatever the rate that both versions share in this place and period.
 *
 * @param table - Trials and hits of both versions.
 * @param odds - Odds ratios of the alternatives.
 * @returns One value for each alternative, 0 if the table has no information.
 */
export function tableLogLikelihoodRatios(
  table: Table,
  odds: readonly number[],
): number[] {
  const all = table.newHits + table.oldHits;
  const total = table.newTotal + table.oldTotal;
  if (!table.newTotal || !table.oldTotal || !all || all === total) {
    return odds.map(() => 0);
  }
  const scale = Math.min(1, maxTableHits / all);
  const scaled = (count: number) => Math.floor(count * scale);
  const n1 = scaled(table.newTotal);
  const n0 = scaled(table.oldTotal);
  const x = Math.min(scaled(table.newHits), n1);
  const k = x + Math.min(scaled(table.oldHits), n0);
  const from = Math.max(0, k - n0);
  const to = Math.min(k, n1);
  if (from === to) return odds.map(() => 0);
  const logWeights: number[] = [0];
  for (let j = from; j < to; j++) {
    const ratio = ((n1 - j) * (k - j)) / ((j + 1) * (n0 - k + j + 1));
    logWeights.push(logWeights[logWeights.length - 1] + Math.log(ratio));
  }
  const base = logSumExp(logWeights);
  return odds.map(ratio => {
    const step = Math.log(ratio);
    const shifted = logWeights.map((weight, i) => weight + (from + i) * step);
    return x * step - logSumExp(shifted) + base;
  });
}

/**
 * Computes log likelihood ratios of hit rates against a rate that is known beforehand.
 *
 * @param total - Number of trials.
 * @param hits - Number of hits.
 * @param rate - Maximum rate without harm.
 * @param rates - Rates of the alternatives.
 * @returns One value for each alternative.
 */
export function rateLogLikelihoodRatios(
  total: number,
  hits: number,
  rate: number,
  rates: readonly number[],
): number[] {
  return rates.map(
    other =>
      hits * Math.log(other / rate) +
      (total - hits) * Math.log((1 - other) / (1 - rate)),
  );
}

/**
 * Sums numbers that are given by their natural logarithms.
 *
 * @param logs - Natural logarithms.
 * @returns Natural logarithm of the sum.
 */
export function logSumExp(logs: readonly number[]): number {
  let max = -Infinity;
  for (const value of logs) if (value > max) max = value;
  if (max === -Infinity) return max;
  let sum = 0;
  for (const value of logs) sum += Math.exp(value - max);
  return max + Math.log(sum);
}

/** Periods over which the prior of a later onset of harm is spread: two hours of five seconds. */
const changeBuckets = 1440;
const logChangeWeight = Math.log(0.5 / changeBuckets);

/**
 * E-process: a product of likelihood ratios over periods, as a mixture over alternatives and over the
 * period in which harm begins. Half of the prior weight is on the first period, the rest is spread.
 * Without harm, the probability that it ever exceeds 1/a is at most a, however often it is evaluated.
 */
export class EProcess {
  private readonly fromStart: number[];
  private readonly fromChange: number[];
  private closedValue: number | undefined;

  /** @param alternatives - Number of alternatives in the mixture. */
  constructor(alternatives: number) {
    this.fromStart = new Array<number>(alternatives).fill(Math.log(0.5));
    this.fromChange = new Array<number>(alternatives).fill(-Infinity);
  }

  /**
   * Adds a closed period.
   *
   * @param logRatios - Log likelihood ratio of each alternative.
   */
  addPeriod(logRatios: readonly number[]): void {
    this.closedValue = undefined;
    logRatios.forEach((ratio, i) => {
      this.fromStart[i] += ratio;
      this.fromChange[i] = logAdd(this.fromChange[i], logChangeWeight) + ratio;
    });
  }

  /**
   * Evaluates the process with periods that are still open.
   *
   * @param open - Log likelihood ratios of the open periods, oldest first.
   * @returns Natural logarithm of the evidence.
   */
  value(open: readonly (readonly number[])[]): number {
    if (open.length > 0) return this.mixture(open);
    return (this.closedValue ??= this.mixture(open));
  }

  private mixture(open: readonly (readonly number[])[]): number {
    let sum = -Infinity;
    for (let i = 0; i < this.fromStart.length; i++) {
      let change = this.fromChange[i];
      let total = this.fromStart[i];
      for (const ratios of open) {
        total += ratios[i];
        change = logAdd(change, logChangeWeight) + ratios[i];
      }
      sum = logAdd(sum, logAdd(total, change));
    }
    return sum - Math.log(this.fromStart.length);
  }
}

/** Like {@link logSumExp}, for two numbers. */
function logAdd(a: number, b: number): number {
  if (a === -Infinity) return b;
  if (b === -Infinity) return a;
  const max = a > b ? a : b;
  return max + Math.log1p(Math.exp((a > b ? b : a) - max));
}
