import type {BaselineResult} from './baselines.js';
import type {Scenario} from './scenario.js';
import type {Result} from './simulate.js';

/** Outcome of one seed with the product and with the baselines. */
export interface Outcome {
  readonly scenario: Scenario;
  readonly result: Result;
  readonly baselines: {timed: BaselineResult; rolling: BaselineResult};
}

interface Goal {
  readonly name: string;
  readonly met: boolean;
  readonly figure: string;
}

const maxBadPart = 0.01;
const maxLateMs = 2000;

/** Renders the outcomes: goals, a table by kind of version, and the misses. */
export function renderReport(outcomes: readonly Outcome[]): string {
  const lines: string[] = [];
  for (const goal of goals(outcomes))
    lines.push(
      `${goal.met ? 'met   ' : 'MISSED'}  ${goal.name}: ${goal.figure}`,
    );
  lines.push('', ...kindTable(outcomes), '', ...misses(outcomes));
  return lines.join('\n') + '\n';
}

function goals(outcomes: readonly Outcome[]): Goal[] {
  const good = outcomes.filter(({scenario}) => scenario.version === 'good');
  const bad = outcomes.filter(({scenario}) => scenario.version !== 'good');
  const goodInTime = good.filter(({result}) => result.inTime).length;
  const badInTime = bad.filter(({result}) => result.inTime).length;
  const max = (values: number[]) => Math.max(0, ...values);
  const plan = bad.map(({result}) => result.badPartOfPlan);
  const strict = bad.map(({result}) => result.badPart);
  const late = bad.map(({result}) => result.lateMs);
  const wrong = outcomes.filter(({result}) => result.falseStatuses.length > 0);
  const stale = outcomes.filter(({result}) => result.staleOrders > 0);
  const repeated = outcomes.filter(({result}) => result.repeatedOrders > 0);
  const canary = outcomes.filter(
    ({result, scenario}) => result.canaryPeak > scenario.spec.canaryInFlight,
  );
  return [
    {
      name: 'good versions completed by their deadline (>= 99 %)',
      met: goodInTime >= good.length * 0.99,
      figure: `${goodInTime} of ${good.length}`,
    },
    {
      name: 'bad versions taken back by their deadline, or in the watch period (all)',
      met: badInTime === bad.length,
      figure: `${badInTime} of ${bad.length}`,
    },
    {
      name: 'requests served by a bad version, of those until the deadline (<= 1 % in each)',
      met: max(plan) <= maxBadPart,
      figure: `worst ${percent(max(plan))}, mean ${percent(mean(plan))}, ${count(plan, maxBadPart)} above`,
    },
    {
      name: 'the same, of those until it was taken back (<= 1 % in each, strict reading)',
      met: max(strict) <= maxBadPart,
      figure: `worst ${percent(max(strict))}, mean ${percent(mean(strict))}, ${count(strict, maxBadPart)} above`,
    },
    {
      name: 'last new work to a bad version after its faults showed (<= 2 s)',
      met: max(late) <= maxLateMs,
      figure: `worst ${max(late)} ms, ${count(late, maxLateMs)} above`,
    },
    {
      name: 'rollouts with a false status (none)',
      met: wrong.length === 0,
      figure: `${wrong.length}`,
    },
    {
      name: 'rollouts with an order of a replaced leader that an engine followed (none)',
      met: stale.length === 0,
      figure: `${stale.length}`,
    },
    {
      name: 'rollouts with an order repeated after it took effect (none)',
      met: repeated.length === 0,
      figure: `${repeated.length}`,
    },
    {
      name: 'rollouts above the in-flight bound of the canary (none)',
      met: canary.length === 0,
      figure: `${canary.length}`,
    },
  ];
}

function kindTable(outcomes: readonly Outcome[]): string[] {
  const kinds = [...new Set(outcomes.map(({scenario}) => scenario.version))];
  const head = [
    'version'.padEnd(17),
    'number',
    'in time',
    'bad part mean/worst',
    'shed mean',
    'timed canary: right, bad part',
    'rolling: right, bad part',
  ].join(' | ');
  return [
    head,
    ...kinds.map(kind => {
      const rows = outcomes.filter(({scenario}) => scenario.version === kind);
      const plan = rows.map(({result}) => result.badPartOfPlan);
      const right = (base: BaselineResult) =>
        kind === 'good' ? base.completed && !base.takenBack : base.takenBack;
      const base = (list: BaselineResult[]) =>
        `${list.filter(right).length}, ${percent(mean(list.map(({badPartOfPlan}) => badPartOfPlan)))}`;
      return [
        kind.padEnd(17),
        String(rows.length).padEnd(6),
        String(rows.filter(({result}) => result.inTime).length).padEnd(7),
        `${percent(mean(plan))} / ${percent(Math.max(...plan))}`.padEnd(19),
        percent(mean(rows.map(({result}) => result.shedPart))).padEnd(9),
        base(rows.map(({baselines}) => baselines.timed)).padEnd(29),
        base(rows.map(({baselines}) => baselines.rolling)),
      ].join(' | ');
    }),
  ];
}

function misses(outcomes: readonly Outcome[]): string[] {
  const found: string[] = [];
  for (const {scenario, result} of outcomes) {
    const wrong: string[] = [];
    if (!result.inTime) wrong.push(`${result.phase} ${result.reason}`);
    if (result.badPartOfPlan > maxBadPart)
      wrong.push(`bad part ${percent(result.badPartOfPlan)}`);
    if (result.lateMs > maxLateMs) wrong.push(`late ${result.lateMs} ms`);
    if (result.staleOrders) wrong.push(`stale orders ${result.staleOrders}`);
    if (result.repeatedOrders)
      wrong.push(`repeated orders ${result.repeatedOrders}`);
    if (result.canaryPeak > scenario.spec.canaryInFlight)
      wrong.push(`canary in flight ${result.canaryPeak}`);
    wrong.push(...result.falseStatuses.slice(0, 2));
    if (wrong.length === 0) continue;
    const {seed, site, version, fault} = scenario;
    found.push(
      `seed ${seed} (${site}, ${scenario.spec.strategy}, ${version}, ${fault}): ${wrong.join('; ')}`,
    );
  }
  return found.length > 0 ? ['misses:', ...found] : ['no misses'];
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / (values.length || 1);
}

function count(values: readonly number[], limit: number): number {
  return values.filter(value => value > limit).length;
}

function percent(value: number): string {
  return `${(value * 100).toFixed(2)} %`;
}
