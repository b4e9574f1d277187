import type {RolloutSpec} from '../../../src/version/resources/kinds.js';
import type {Verdict} from '../../../src/version/evidence/version-evaluator.js';
import {foldRollout} from '../../../src/version/rollout/fold-rollout.js';
import {
  emptyRollouts,
  type RolloutChange,
  type RolloutRecord,
  type RolloutState,
} from '../../../src/version/rollout/rollout-state.js';
import type {
  RolloutTarget,
  RolloutView,
} from '../../../src/version/rollout/rollout-view.js';

export const startMs = Date.parse('2026-01-01T00:00:00Z');

export function spec(changes: Partial<RolloutSpec> = {}): RolloutSpec {
  return {
    service: 's',
    version: 'v2',
    deadline: new Date(startMs + 3_600_000).toISOString(),
    strategy: 'surge',
    canaryShare: 0.05,
    canaryInFlight: 4,
    watchPeriodSeconds: 60,
    control: 'run',
    onConflict: 'refuse',
    ...changes,
  };
}

export function record(
  change: RolloutChange,
  changes: Partial<RolloutRecord> = {},
): RolloutRecord {
  return {
    ...change,
    writeId: 'w',
    rollout: 'r',
    fencing: 7,
    host: 'h',
    atMs: startMs,
    ...changes,
  } as RolloutRecord;
}

/** Folds records that follow each other. */
export function foldAll(
  records: readonly RolloutRecord[],
  state: RolloutState = emptyRollouts,
): RolloutState {
  return records.reduce(
    (before, each) => foldRollout(before, each, before.offset),
    state,
  );
}

export const started: readonly RolloutRecord[] = [
  record({type: 'claim'}),
  record({
    type: 'start',
    spec: spec(),
    oldVersion: 'v1',
    steps: [0.05, 0.25, 0.5, 1],
  }),
];

export function step(index: number): RolloutRecord {
  return record({type: 'step', step: index, evidence: ''});
}

export function targets(
  names: string,
  changes: (index: number) => Partial<RolloutTarget> = () => ({}),
): RolloutTarget[] {
  return [...names].map((digit, i) => ({
    name: `t${i}`,
    zone: ['a', 'b', 'c'][i % 3],
    zoneIn: true,
    version: `v${digit}`,
    ready: true,
    capacity: 8,
    ...changes(i),
  }));
}

export const calm: Verdict = {
  requestsPerSecond: 20,
  requests: 1000,
  failures: 0,
  measuredShare: 0.05,
  harm: {logEvidence: 0, needed: 10},
  assessShare: () => ({ready: true, missing: [], requestsMissing: 0}),
};

export const harmful: Verdict = {
  ...calm,
  stop: {
    metric: 'failures',
    stratum: 'overall',
    logEvidence: 12,
    needed: 10,
    atMs: startMs,
  },
};

export const short: Verdict = {
  ...calm,
  assessShare: () => ({
    ready: false,
    missing: ['evidence'],
    requestsMissing: 50,
  }),
};

export function view(changes: Partial<RolloutView> = {}): RolloutView {
  return {
    declared: {name: 'r', spec: spec(), offset: 0},
    state: emptyRollouts,
    serviceVersion: 'v1',
    targets: targets('111222'),
    verdict: calm,
    newInFlight: 0,
    utilisation: 0.3,
    estimates: {loadMs: 60_000, parallelLoads: 4, drainMs: 10_000},
    wallMs: startMs + 60_000,
    ...changes,
  };
}
