import {build} from 'hdr-histogram-js';
import {tierCount} from '../version/resources/kinds.js';
import {countBy, type Tally, type TargetExecution} from './tally.js';

const quantiles = [50, 95, 99];

/**
 * Renders the result of a demo.
 *
 * @param counted - Counts of the run.
 * @param executions - What the targets recorded.
 * @param seconds - Duration of the load, in seconds.
 * @returns Lines; the last one sums up.
 */
export function renderReport(
  counted: Tally,
  executions: readonly TargetExecution[],
  seconds: number,
): string[] {
  const {requests, whole, refused, lost, duplicate} = counted;
  return [
    '',
    'goodput by tier (whole answers within the time limit)',
    ...renderGoodput(counted, seconds),
    '',
    'refusals by reason',
    ...renderCounts(
      countBy(
        counted.verdicts.filter(({verdict}) => verdict === 'refused'),
        ({result: {outcome}}) =>
          outcome.kind === 'refused' ? outcome.reason : '',
      ),
    ),
    ...(lost > 0 ? ['', 'losses', ...renderCounts(counted.losses)] : []),
    '',
    `executions counted by the targets: ${executions.length}`,
    ...renderCounts(countBy(executions, ({target}) => target)),
    '',
    'latency of whole answers in ms (first token: streamed answers)',
    ...renderLatency(counted),
    '',
    `demo: ${requests} requests, ${whole} whole, ${refused} refused, ${lost} lost, ${duplicate} duplicate`,
  ];
}

function renderGoodput({verdicts}: Tally, seconds: number): string[] {
  const lines: string[] = [];
  for (let tier = 0; tier < tierCount; tier++) {
    const own = verdicts.filter(({result}) => result.req.tier === tier);
    if (own.length === 0) continue;
    const good = own.filter(
      ({result, verdict}) =>
        verdict === 'whole' && result.totalMs <= result.req.timeoutMs,
    ).length;
    const rate = (good / seconds).toFixed(1);
    lines.push(`  tier ${tier}: ${good} of ${own.length}, ${rate}/s`);
  }
  return lines;
}

function renderCounts(counts: ReadonlyMap<string, number>): string[] {
  if (counts.size === 0) return ['  none'];
  return [...counts].sort().map(([name, count]) => `  ${name}: ${count}`);
}

function renderLatency({verdicts}: Tally): string[] {
  const lines: string[] = [];
  for (let tier = 0; tier < tierCount; tier++) {
    const firstToken = build();
    const total = build();
    for (const {result, verdict} of verdicts) {
      if (verdict !== 'whole' || result.req.tier !== tier) continue;
      if (result.req.streamed) {
        firstToken.recordValue(Math.round(result.firstByteMs));
      }
      total.recordValue(Math.round(result.totalMs));
    }
    if (total.totalCount === 0) continue;
    const render = (histogram: typeof total) =>
      quantiles
        .map(q => `p${q} ${histogram.getValueAtPercentile(q)}`)
        .join(', ');
    lines.push(
      `  tier ${tier}: first token ${render(firstToken)}; whole ${render(total)}`,
    );
  }
  return lines;
}
