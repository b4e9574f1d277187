import {measureCapacity} from './capacity.js';
import {decisionMicros} from './decision-time.js';
import {goals, type Results} from './goals.js';
import type {Metrics} from './metrics.js';
import {
  fleet,
  mixed,
  policies,
  runScenario,
  topTier,
  type Period,
  type Scenario,
} from './scenarios.js';

const scenarios: readonly Scenario[] = [
  {name: 'load 0.7', load: mixed(0.7)},
  {name: 'load 1.0', load: mixed(1)},
  {name: 'load 1.5', load: mixed(1.5)},
  {name: 'load 3', load: mixed(3)},
  {name: 'top 0.8 of 1.0', load: topTier(0.8, 1)},
  {name: 'top 0.8 of 1.5', load: topTier(0.8, 1.5)},
  {name: 'top 0.8 of 3', load: topTier(0.8, 3)},
  {name: 'burst', load: mixed(0.7), burst: true},
  {name: 'slow engine', load: mixed(0.7), fault: 'slow'},
  {name: 'cold engine', load: mixed(0.7), fault: 'cold'},
  {name: 'owner killed', load: mixed(0.7), fault: 'owner-killed'},
  {name: 'reports 5 s old', load: mixed(1), loadLagMs: 5000},
];

/** Compares the ways to dispatch requests in virtual time and prints the figures. */
export async function run(): Promise<void> {
  const args = process.argv.slice(3);
  const quick = args.includes('--quick');
  const seed = Number(option(args, '--seed') ?? 1);
  const only = option(args, '--only');
  const onlyPolicy = option(args, '--policy');
  const onlyFleet = option(args, '--fleet');
  const names = (quick ? ['himalchuli'] : ['himalchuli', 'nattro']) as (
    'himalchuli' | 'nattro'
  )[];
  const period: Period = quick
    ? {warmUpMs: 15_000, settleMs: 45_000, measuredMs: 30_000, drainMs: 60_000}
    : {warmUpMs: 15_000, settleMs: 45_000, measuredMs: 60_000, drainMs: 60_000};
  print(
    `seed ${seed}, warm-up ${period.warmUpMs / 1000} s, settling ${period.settleMs / 1000} s, measured ${period.measuredMs / 1000} s`,
  );
  for (const name of names) {
    if (onlyFleet && name !== onlyFleet) continue;
    const cfg = fleet(name);
    const capacity = measureCapacity(cfg, seed);
    print(
      `\n## ${name}: ${cfg.engines.length} engines, capacity ${capacity.toFixed(1)} requests/s`,
    );
    const results: Results = new Map();
    for (const scenario of scenarios) {
      if (only && !scenario.name.includes(only)) continue;
      print(`\n### ${scenario.name}\n`);
      print(
        '| policy | goodput | by tier | smallest organisation | wasted prefill | undelivered | over cold | over warm | crashes | preempted | retries | main losses |',
      );
      print('|---|---|---|---|---|---|---|---|---|---|---|---|');
      for (const [policyName, create] of Object.entries(policies)) {
        if (onlyPolicy && !policyName.includes(onlyPolicy)) continue;
        const metrics = runScenario(
          scenario,
          cfg,
          create(seed),
          capacity,
          period,
          seed,
        );
        results.set(`${scenario.name}/${policyName}`, metrics);
        print(row(policyName, metrics));
      }
    }
    if (!only && !onlyPolicy) print(`\n${goals(results)}`);
  }
  if ((only && only !== 'decision') || onlyPolicy) return;
  print('\n## Decision time\n');
  const count = quick ? 5000 : 20_000;
  for (const waiting of [0, 200]) {
    // With every slot taken, sizes stay near the greatest group of the design, 32 targets.
    const sizes = waiting > 0 ? [6, 32, 60] : [6, 60, 600];
    decisionMicros(60, count, seed, waiting);
    const times = sizes.map(targets => ({
      targets,
      micros: decisionMicros(targets, count, seed, waiting),
    }));
    const state = waiting > 0 ? `full, ${waiting} waiting` : 'two thirds busy';
    for (const {targets, micros} of times) {
      print(
        `- ${targets} targets, ${state}: ${micros.toFixed(1)} µs per request (offer, first token, completion)`,
      );
    }
    const slope = (times[2].micros - times[0].micros) / (sizes[2] - sizes[0]);
    print(`- slope, ${state}: ${(slope * 1000).toFixed(1)} ns per target`);
    if (waiting > 0) continue;
    const met = times[2].micros < 50 ? 'met' : 'missed';
    print(`- goal < 50 µs at 600 targets: ${met}`);
  }
}

function option(args: readonly string[], name: string): string | undefined {
  const at = args.indexOf(name);
  return at < 0 ? undefined : args[at + 1];
}

function row(name: string, metrics: Metrics): string {
  const tiers = metrics.byTier
    .map(({good, offered}) => percent(good, offered))
    .join(' / ');
  const smallest = [...metrics.byOrganisation]
    .filter(([organisation]) => organisation !== 'org0')
    .map(([, {good, offered}]) => good / offered);
  const losses = [...metrics.refusals]
    .sort((a, b) => b[1] - a[1])
    .slice(0, 4)
    .map(([reason, count]) => `${reason} ${count}`)
    .join(', ');
  return [
    '',
    name,
    percent(metrics.good, metrics.offered),
    tiers,
    percent(Math.min(...smallest), 1),
    String(Math.round(metrics.wasted)),
    String(Math.round(metrics.undelivered)),
    String(metrics.overCold),
    percent(metrics.overWarmMs, metrics.engineMs),
    String(metrics.crashes),
    String(metrics.preemptions),
    String(metrics.retries),
    losses,
    '',
  ]
    .join(' | ')
    .trim();
}

function percent(part: number, whole: number): string {
  return whole > 0 ? `${((100 * part) / whole).toFixed(1)} %` : '–';
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
