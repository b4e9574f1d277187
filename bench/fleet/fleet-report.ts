import {countBy} from '../../src/demo/tally.js';
import type {SeenExecution} from './fleet-messages.js';
import {findGaps, type FleetTally, type Judged} from './fleet-tally.js';

/** Wall-clock times of a phase. */
export interface PhaseTimes {
  readonly name: string;
  readonly beforeMs: number;
  readonly faultMs: number;
  readonly endMs: number;
  readonly afterMs: number;
}

/** What a host used in the run. */
export interface HostUse {
  readonly host: string;
  readonly seconds: number;
  readonly processorSeconds: number | undefined;
  readonly controlBytes: number | undefined;
}

/** Everything that was measured. */
export interface FleetRun {
  readonly seed: number;
  readonly requestsPerSecond: number;
  readonly tally: FleetTally;
  readonly executions: readonly SeenExecution[];
  readonly phases: readonly PhaseTimes[];
  readonly use: readonly HostUse[];
  readonly outZone: string;
  readonly outAcceptedMs: number;
  readonly inAcceptedMs: number;
  readonly drained: string;
  readonly drainExit: number | null;
}

/** Renders a run; it failed on a duplicate, a false not-run, an untold loss or a cut-off drain. */
export function renderFleet(run: FleetRun): {lines: string[]; failed: boolean} {
  const {judged, duplicates} = run.tally;
  const count = (verdict: string) =>
    judged.filter(entry => entry.verdict === verdict).length;
  const cutOff = countCutOff(run);
  const lastWorkMs = lastWork(run);
  const lines = [
    `seed ${run.seed}, ${run.requestsPerSecond} requests/s`,
    '',
    '| phase | tier | before, whole in time of sent | during | after |',
    '|---|---|---|---|---|',
    ...run.phases.flatMap(phase => goodput(judged, phase)),
    '',
    '| phase | group | longest gap between executions before, ms | during and after, ms |',
    '|---|---|---|---|',
    ...run.phases.flatMap(phase => gaps(run.executions, phase)),
    '',
    '| host | processor, % of a core | control bytes/s |',
    '|---|---|---|',
    ...run.use.map(renderUse),
    '',
    '| outcome | reason | requests |',
    '|---|---|---|',
    ...[...countBy(judged, ({verdict, reason}) => `${verdict} | ${reason}`)]
      .sort()
      .map(([name, number]) => `| ${name} | ${number} |`),
    '',
    `zone ${run.outZone}: last new work ${(lastWorkMs / 1000).toFixed(2)} s after it was accepted as out`,
    `drain of ${run.drained}: exit code ${run.drainExit}, ${cutOff} requests cut off`,
    `fleet: ${judged.length} requests, ${count('whole')} whole, ${count('refused')} refused, ` +
      `${count('lost told')} lost told, ${count('lost untold')} lost untold, ` +
      `${count('false not-run')} false not-run, ${duplicates} duplicate`,
  ];
  const bad = [
    duplicates,
    count('lost untold'),
    count('false not-run'),
    cutOff,
    run.drainExit ?? 1,
  ];
  return {lines, failed: bad.some(number => number > 0)};
}

function goodput(judged: readonly Judged[], phase: PhaseTimes): string[] {
  const windows = [
    [phase.beforeMs, phase.faultMs],
    [phase.faultMs, phase.endMs],
    [phase.endMs, phase.afterMs],
  ];
  return [0, 1, 2, 3].map(tier => {
    const cells = windows.map(([from, to]) => {
      const sent = judged.filter(({request: {req, sendings}}) => {
        const {sentMs} = sendings[0];
        return req.tier === tier && sentMs >= from && sentMs < to;
      });
      const good = sent.filter(({verdict, request: {req, sendings}}) => {
        const last = sendings[sendings.length - 1];
        const tookMs = last.endMs - sendings[0].sentMs;
        return verdict === 'whole' && tookMs <= req.timeoutMs;
      }).length;
      const rate = (good / ((to - from) / 1000)).toFixed(1);
      return `${rate}/s (${good} of ${sent.length})`;
    });
    return `| ${phase.name} | ${tier} | ${cells.join(' | ')} |`;
  });
}

function gaps(
  executions: readonly SeenExecution[],
  {name, beforeMs, faultMs, afterMs}: PhaseTimes,
): string[] {
  const before = findGaps(executions, beforeMs, faultMs);
  const during = findGaps(executions, faultMs, afterMs);
  return [...during]
    .sort()
    .map(
      ([group, gap]) =>
        `| ${name} | ${group} | ${before.get(group) ?? '-'} | ${gap} |`,
    );
}

function renderUse(use: HostUse): string {
  const {host, seconds, processorSeconds, controlBytes} = use;
  const share =
    processorSeconds === undefined
      ? 'not running'
      : ((100 * processorSeconds) / seconds).toFixed(1);
  const bytes =
    controlBytes === undefined
      ? 'missing: no counter'
      : (controlBytes / seconds).toFixed(0);
  return `| ${host} | ${share} | ${bytes} |`;
}

/** Time from the acceptance until the last new execution in the zone, in milliseconds. */
function lastWork(run: FleetRun): number {
  const {executions, outZone, outAcceptedMs, inAcceptedMs} = run;
  const late = executions.filter(
    ({zone, seenMs}) =>
      zone === outZone && seenMs > outAcceptedMs && seenMs < inAcceptedMs,
  );
  return Math.max(0, ...late.map(({seenMs}) => seenMs - outAcceptedMs));
}

/** Requests that broke at the host that was drained, having been sent before or during the drain. */
function countCutOff({tally, phases, drained}: FleetRun): number {
  const phase = phases.find(({name}) => name === 'host drained');
  if (!phase) return 0;
  return tally.judged.filter(({request}) =>
    request.sendings.some(
      ({host, outcome, endMs}) =>
        host === drained &&
        outcome.kind === 'broken' &&
        outcome.connected &&
        endMs >= phase.faultMs &&
        endMs <= phase.afterMs,
    ),
  ).length;
}
