import type {EngineModelCfg} from '../../stand-ins/engine-model.js';
import {defaultEngineModelCfg} from '../../stand-ins/engine-model.js';
import {seededRandom} from '../../stand-ins/seeded-random.js';
import {LeastOutstanding, RoundRobin, TwoChoices} from './direct-policies.js';
import {GroupPolicy} from './group-policy.js';
import {Metrics} from './metrics.js';
import {OraclePolicy} from './oracle-policy.js';
import type {Policy} from './policy.js';
import {Simulation, type FleetCfg} from './simulation.js';
import {drawRequests, type WorkloadCfg} from './workload.js';

/** Requests that a warm engine runs at once without filling more than four fifths of its memory. */
export const bearable = 48;
/** Part of the load in each tier. */
const tierMix = [0.3, 0.3, 0.2, 0.2];

/** Lengths of a run, in milliseconds. */
export interface Period {
  /** Half load. */
  readonly warmUpMs: number;
  /** Full load before the measured period, so that queues have reached their usual length. */
  readonly settleMs: number;
  readonly measuredMs: number;
  /** Full load after the measured period, while its requests end. */
  readonly drainMs: number;
}

/** One condition under which the policies are compared. */
export interface Scenario {
  readonly name: string;
  /** Offered load in parts of the capacity, by tier. */
  readonly load: readonly number[];
  readonly burst?: boolean;
  readonly loadLagMs?: number;
  /** Fault introduced at the start of the measured period. */
  readonly fault?: 'slow' | 'cold' | 'owner-killed';
}

/** All policies by name; `c` is the one that the design proposes. */
export const policies: Readonly<Record<string, (seed: number) => Policy>> = {
  'round robin': () => new RoundRobin(),
  'least outstanding': () => new LeastOutstanding(),
  '(a) two choices': seed => new TwoChoices(seededRandom(seed)),
  '(b) static share': () => new GroupPolicy('local'),
  '(c) group owner': () => new GroupPolicy('owner'),
  oracle: () => new OraclePolicy(),
};

/** Load of a total spread over the tiers. */
export function mixed(total: number): number[] {
  return tierMix.map(part => part * total);
}

/** Load with a fixed part of the top tier; the rest is spread over the others. */
export function topTier(top: number, total: number): number[] {
  const rest = (total - top) / 3;
  return [top, rest, rest, rest];
}

/** A deployment of today. */
export function fleet(name: 'himalchuli' | 'nattro'): FleetCfg {
  const large = name === 'himalchuli';
  // Each zone has the same mix of hardware; engine i is in zone i modulo 3.
  const speeds = large ? [1, 1.5, 1, 1.5] : [1, 1.5];
  const count = large ? 12 : 6;
  return {
    zones: 3,
    hosts: 8,
    engines: Array.from({length: count}, (_, i) =>
      engine(speeds[Math.floor(i / 3)]),
    ),
    maxConcurrency: bearable,
    zoneDelayMs: 0.5,
    crossDelayMs: large ? 1 : 1.5,
  };
}

function engine(speed: number): EngineModelCfg {
  return {...defaultEngineModelCfg, speed};
}

/** Runs one policy under one scenario. */
export function runScenario(
  scenario: Scenario,
  cfg: FleetCfg,
  policy: Policy,
  capacity: number,
  period: Period,
  seed: number,
): Metrics {
  const {warmUpMs, settleMs, measuredMs, drainMs} = period;
  const startMs = warmUpMs + settleMs;
  const endMs = startMs + measuredMs;
  const metrics = new Metrics(startMs, endMs);
  const {loadLagMs = 500} = scenario;
  const fleetCfg = {
    ...cfg,
    engines: cfg.engines.map(one => ({...one, loadLagMs})),
  };
  const sim = new Simulation(fleetCfg, metrics, policy, seed);
  const random = seededRandom(seed);
  const shape = {hosts: cfg.hosts, organisations: 5};
  const warmUp: WorkloadCfg = {
    ...shape,
    ratePerTier: mixed(0.5 * capacity),
    fromMs: 0,
    untilMs: warmUpMs,
  };
  const measured: WorkloadCfg = {
    ...shape,
    ratePerTier: scenario.load.map(part => part * capacity),
    fromMs: warmUpMs,
    untilMs: endMs + drainMs,
    burst: scenario.burst
      ? {factor: 10, fromMs: warmUpMs, untilMs: endMs + drainMs}
      : undefined,
  };
  const requests = [
    ...drawRequests(warmUp, random).map(req => ({...req, id: `w${req.id}`})),
    ...drawRequests(measured, random),
  ];
  const faultMs = startMs + measuredMs / 4;
  sim.events.at(faultMs, () => introduce(scenario, sim, policy));
  sim.run(requests, endMs + drainMs);
  return metrics;
}

function introduce(scenario: Scenario, sim: Simulation, policy: Policy): void {
  const {nowMs} = sim;
  if (scenario.fault === 'slow') sim.slow(sim.engines[0], 4);
  if (scenario.fault === 'cold') {
    sim.engines[0].model.restart(nowMs);
    sim.wake(sim.engines[0]);
  }
  if (scenario.fault === 'owner-killed' && policy instanceof GroupPolicy) {
    policy.killOwner(0);
  }
}
