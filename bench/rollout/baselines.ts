import {ManualClock} from '../../stand-ins/manual-clock.js';
import type {VersionCap} from '../../src/request/scheduler/types.js';
import {Random} from './random.js';
import type {Scenario} from './scenario.js';
import {SimEngines} from './sim-engines.js';
import {SimTraffic, stepMs} from './sim-traffic.js';
import {zones} from './simulate.js';

/** What a simple method makes of a rollout. */
export interface BaselineResult {
  readonly completed: boolean;
  readonly takenBack: boolean;
  /** Part of the requests until the deadline that a bad version served while it was bad. */
  readonly badPartOfPlan: number;
}

/** Method of a baseline. */
export const baselineMethods = {
  timedCanary: 'timed-canary',
  rolling: 'rolling',
} as const;

/** Value of {@link baselineMethods}. */
export type BaselineMethod =
  (typeof baselineMethods)[keyof typeof baselineMethods];

const timedShares = [0.05, 0.25, 0.5, 1];
/** Window and limit of the timed canary's error rate. */
const windowMs = 60_000;
const maxErrorRate = 0.05;
const minRequests = 20;
/** Interval between two replacements when rolling by health checks. */
const replaceMs = 45_000;

/**
 * Runs a scenario with a simple method and no faults of the control system, which it does not
 * have. New targets stand beside the old ones in both methods.
 */
export function runBaseline(
  scenario: Scenario,
  method: BaselineMethod,
): BaselineResult {
  const surge: Scenario = {
    ...scenario,
    spec: {...scenario.spec, strategy: 'surge'},
  };
  const clock = new ManualClock();
  const rng = new Random(scenario.seed);
  const engines = new SimEngines(surge, clock, rng, zones);
  let share = 0;
  let takenBack = false;
  let firstNewAtMs: number | undefined;
  let completedAtMs: number | undefined;
  const recent: {atMs: number; failed: boolean}[] = [];
  const caps = (): VersionCap[] => [
    {version: 'v2', share, inFlight: Infinity},
    {version: 'v1', share: share >= 1 ? 0 : 1, inFlight: Infinity},
  ];
  const traffic = new SimTraffic(surge, engines, clock, rng, {
    caps,
    host: () => 0,
    zonesIn: () => zones,
    bad: () => {
      const {version, onsetMs} = scenario;
      if (version === 'good' || firstNewAtMs === undefined) return false;
      const nowMs = clock.nowMs();
      if (version === 'later') return nowMs >= firstNewAtMs + onsetMs;
      if (version !== 'after-completion') return true;
      return completedAtMs !== undefined && nowMs >= completedAtMs + onsetMs;
    },
    finished: (_host, sample) => {
      if (sample.version === 'v2')
        recent.push({atMs: clock.nowMs(), failed: sample.result !== 'ok'});
    },
  });
  const stepTime = (scenario.deadlineMs * 0.5) / timedShares.length;
  const readyMs = 60_000;
  while (clock.nowMs() < scenario.deadlineMs) {
    clock.advance(stepMs);
    engines.advance();
    traffic.advance();
    if (traffic.newTotal > 0) firstNewAtMs ??= clock.nowMs();
    const sinceMs = clock.nowMs() - readyMs;
    if (sinceMs < 0 || takenBack) continue;
    if (method === 'rolling') {
      share = Math.min(1, Math.ceil(sinceMs / replaceMs) / scenario.engines);
    } else {
      const step = Math.floor(sinceMs / stepTime);
      share = timedShares[Math.min(step, timedShares.length - 1)];
      while (recent[0] && recent[0].atMs < clock.nowMs() - windowMs)
        recent.shift();
      const failures = recent.filter(({failed}) => failed).length;
      if (
        clock.nowMs() % 1000 === 0 &&
        recent.length >= minRequests &&
        failures > recent.length * maxErrorRate
      ) {
        takenBack = true;
        share = 0;
      }
    }
    if (share >= 1) completedAtMs ??= clock.nowMs();
  }
  return {
    completed: share >= 1,
    takenBack,
    badPartOfPlan: traffic.newWhileBad / Math.max(1, traffic.total),
  };
}
