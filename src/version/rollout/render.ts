import type {RolloutStatus} from './status.js';

/** Width of the bars of the chart, in characters. */
const chartWidth = 40;

/**
 * Renders a status as a table and a chart of the shares.
 *
 * @param status - Status of a rollout.
 * @returns Text of several lines that ends with a line break.
 */
export function renderRollout(status: RolloutStatus): string {
  const {evidence} = status;
  const state = status.reason
    ? `${status.state} (${status.reason})`
    : status.state;
  const harm = `${evidence.harm.toFixed(1)} of ${evidence.harmNeeded.toFixed(1)}`;
  const rows: [string, string][] = [
    ['rollout', status.name],
    ['service', status.service],
    ['versions', `${status.oldVersion} -> ${status.newVersion}`],
    ['state', state],
    ['deadline', status.deadline],
    ['step', `${status.step} of ${status.steps.length}`],
    ['load', `${status.requestsPerSecond.toFixed(1)} requests/s`],
    [
      'evidence',
      `${evidence.failures} failures in ${evidence.requests} requests, harm ${harm}`,
    ],
    ...(evidence.stop
      ? [['stopped by', evidence.stop] as [string, string]]
      : []),
    ['last change', lastChange(status)],
    ['leader', status.leader ?? 'none'],
    ['waits for', status.waitsFor.join('; ') || 'nothing'],
  ];
  const width = Math.max(...rows.map(([key]) => key.length));
  const table = rows.map(([key, value]) => `${key.padEnd(width)}  ${value}`);
  const chart = [
    bar('allowed', status.allowedShare),
    bar('measured', status.measuredShare),
    bar('ready', status.readyPart),
    `${' '.repeat(9)} ${stepMarks(status.steps)}`,
  ];
  return [...table, '', ...chart, ''].join('\n');
}

function lastChange(status: RolloutStatus): string {
  if (!status.decidedAt) return 'none';
  const why = status.decision ? `: ${status.decision}` : '';
  return `${status.decidedAt} by ${status.decidedBy}${why}`;
}

function bar(label: string, share: number | undefined): string {
  if (share === undefined) return `${label.padEnd(9)} no requests`;
  const filled = Math.round(Math.min(1, Math.max(0, share)) * chartWidth);
  const text = '#'.repeat(filled) + '.'.repeat(chartWidth - filled);
  return `${label.padEnd(9)} ${text} ${(share * 100).toFixed(1)} %`;
}

function stepMarks(steps: readonly number[]): string {
  const marks = new Array<string>(chartWidth).fill(' ');
  for (const share of steps)
    marks[Math.min(chartWidth - 1, Math.ceil(share * chartWidth) - 1)] = '^';
  return marks.join('').trimEnd();
}
