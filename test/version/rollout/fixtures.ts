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

/** Wall-clock time at which rollouts of the tests start, in milliseconds. */
export const startMs = Date.parse('2026-01-01T00:00:00Z');

/** Declares a rollout of service `s` to `v2` with a deadline one hour after the start. */
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

/** Creates a record of rollout `r`, written by host `h` with fencing number 7. */
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

/** Folds records at consecutive offsets into a state. */
export function foldAll(
  records: readonly RolloutRecord[],
  state: RolloutState = emptyRollouts,
): RolloutState {
  return records.reduce(
    (before, each) => foldRollout(before, each, before.offset),
    state,
  );
}

/** Records of a rollout that was started but has taken no step yet. */
export const started: readonly RolloutRecord[] = [
  record({type: 'claim'}),
  record({
    type: 'start',
    spec: spec(),
    oldVersion: 'v1',
    steps: [0.05, 0.25, 0.5, 1],
  }),
];

/** Creates the record of a step. */
export function step(index: number): RolloutRecord {
  return record({type: 'step', step: index, evidence: ''});
}

/** Creates ready targets in zones a, b and c in turn; each digit is the version of one target. */
export function targets(
  versions: string,
  changes: (index: number) => Partial<RolloutTarget> = () => ({}),
): RolloutTarget[] {
  return [...versions].map((digit, i) => ({
    name: `t${i}`,
    zone: ['a', 'b', 'c'][i % 3],
    zoneIn: true,
    version: `v${digit}`,
    ready: true,
    capacity: 8,
    ...changes(i),
  }));
}

/** No evidence of harm, and enough evidence for every step. */
export const harmlessVerdict: Verdict = {
  requestsPerSecond: 20,
  requests: 1000,
  failures: 0,
  measuredShare: 0.05,
  harm: {logEvidence: 0, needed: 10},
  assessShare: () => ({ready: true, missing: [], requestsMissing: 0}),
};

/** Evidence of harm that stops the version. */
export const harmfulVerdict: Verdict = {
  ...harmlessVerdict,
  stop: {
    metric: 'failures',
    stratum: 'overall',
    logEvidence: 12,
    needed: 10,
    atMs: startMs,
  },
};

/** No evidence of harm, but too little evidence for the next step. */
export const shortVerdict: Verdict = {
  ...harmlessVerdict,
  assessShare: () => ({
    ready: false,
    missing: ['evidence'],
    requestsMissing: 50,
  }),
};

/** Creates the view of a rollout without records, one minute after the start. */
export function view(changes: Partial<RolloutView> = {}): RolloutView {
  return {
    declared: {name: 'r', spec: spec(), offset: 0},
    state: emptyRollouts,
    serviceVersion: 'v1',
    targets: targets('111222'),
    verdict: harmlessVerdict,
    newInFlight: 0,
    utilisation: 0.3,
    estimates: {loadMs: 60_000, parallelLoads: 4, drainMs: 10_000},
    wallMs: startMs + 60_000,
    ...changes,
  };
}
