import {readFileSync} from 'node:fs';
import type {Clock} from '../src/process/clock.js';
import {
  ClaimGate,
  LocalClaimGate,
  type ClaimRequest,
  type ClaimResult,
} from '../src/request/claim-gate.js';
import {ScenarioError} from './scenario-parser.js';
import {ScenarioRunner} from './scenario-runner.js';
import type {SimHooks} from './sim-host.js';

/** Grants every claim without asking the log. */
class OpenGate extends ClaimGate {
  override async claim(req: ClaimRequest): Promise<ClaimResult> {
    const {scopeKey, requestId} = req;
    return {kind: 'granted', token: {scopeKey, requestId}};
  }

  override finish(): void {}

  override release(): void {}
}

/** A mechanism that is left out, and the scenario that must then fail. */
export interface Mutation {
  readonly name: string;
  readonly scenario: string;
  readonly hooks: SimHooks;
}

/** All mutations. */
export const mutations: readonly Mutation[] = [
  {
    name: 'claims are granted without the log',
    scenario: 'i01-at-most-once',
    hooks: {claims: () => new OpenGate()},
  },
  {
    name: 'claims are known to one host only',
    scenario: 'pair-claim-holder-paused',
    hooks: {claims: (_gate, clock: Clock) => new LocalClaimGate(clock)},
  },
  {
    name: 'claims are granted while the log is down',
    scenario: 'i07-not-run',
    hooks: {claims: () => new OpenGate()},
  },
  {
    name: 'hosts take no records from other hosts (zone out)',
    scenario: 'i05-zone-out',
    hooks: {relays: false},
  },
  {
    name: 'hosts take no records from other hosts (restart)',
    scenario: 'i11-config',
    hooks: {relays: false},
  },
  {
    name: 'a graceful stop does not wait for requests in flight',
    scenario: 'i10-graceful-stop',
    hooks: {gracefulStop: false},
  },
];

/** Runs a scenario without a mechanism; returns why it failed, or `undefined` if it held. */
export async function runMutation({
  scenario,
  hooks,
}: Mutation): Promise<string | undefined> {
  const text = readFileSync(`scenarios/${scenario}.txt`, 'utf8');
  try {
    await new ScenarioRunner(hooks).run(text);
    return undefined;
  } catch (err) {
    if (err instanceof ScenarioError) return err.message;
    throw err;
  }
}
