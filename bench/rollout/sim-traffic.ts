import type {VersionCap} from '../../src/request/scheduler/types.js';
import type {EvidenceSample} from '../../src/version/evidence/evidence-store.js';
import type {Clock} from '../../src/process/clock.js';
import {engineSlots, type SimEngine, type SimEngines} from './sim-engines.js';
import type {Random} from './random.js';
import type {Scenario} from './scenario.js';

/** Length of a simulation step, in milliseconds. */
export const stepMs = 100;

const routes = [
  'chat',
  'chat',
  'chat',
  'chat',
  'summary',
  'summary',
  'tagging',
];

interface Running {
  readonly engine: SimEngine;
  readonly host: number;
  readonly route: string;
  readonly version: string;
  readonly outcome: {failed: boolean; firstTokenMs: number; tokenMs: number};
}

/** Where finished requests and caps come together. */
export interface TrafficHooks {
  /** Caps of a zone as its host has published them last. */
  caps(zone: string): readonly VersionCap[] | undefined;
  /** Index of the host that serves a zone now. */
  host(zone: string): number;
  /** Zones that are in. */
  zonesIn(): readonly string[];
  /** Whether the new version is bad now. */
  bad(): boolean;
  finished(host: number, sample: EvidenceSample): void;
}

/** Requests of a simulation. */
export class SimTraffic {
  /** Counts from the start of the rollout. */
  total = 0;
  newTotal = 0;
  /** Requests that a bad version served while it was bad; under load only, those under load. */
  newWhileBad = 0;
  firstHarmAtMs: number | undefined;
  shed = 0;
  /** Time of the last dispatch to each version, in milliseconds. */
  readonly lastDispatch = new Map<string, number>();
  /** Requests that run on each version. */
  readonly running = new Map<string, number>();
  /** Greatest number of requests that ran on the new version at the same time. */
  newInFlightPeak = 0;
  loadFactor = 1;
  private readonly calendar = new Map<number, Running[]>();

  /** Creates the traffic of a scenario. */
  constructor(
    private readonly scenario: Scenario,
    private readonly engines: SimEngines,
    private readonly clock: Clock,
    private readonly rng: Random,
    private readonly hooks: TrafficHooks,
  ) {}

  /** Runs one step: ends requests and starts new ones. */
  advance(): void {
    const step = Math.round(this.clock.nowMs() / stepMs);
    for (const request of this.calendar.get(step) ?? []) this.finish(request);
    this.calendar.delete(step);
    const mean =
      (this.scenario.requestsPerSecond * this.loadFactor * stepMs) / 1000;
    for (let i = this.rng.count(mean); i > 0; i--) this.start(step);
  }

  private start(step: number): void {
    const {rng, hooks} = this;
    const zone = rng.pick(hooks.zonesIn());
    const route = rng.pick(routes);
    const caps = hooks.caps(zone);
    this.total++;
    const engine = this.choose(zone, this.order(zone, caps));
    if (!engine) {
      this.shed++;
      return;
    }
    const {version} = engine;
    const badNow = version === 'v2' && hooks.bad();
    if (version === 'v2') {
      this.newTotal++;
    }
    const outcome = this.engines.run(engine, route, badNow);
    if (outcome.harmed) {
      this.newWhileBad++;
      this.firstHarmAtMs ??= this.clock.nowMs();
    }
    engine.running++;
    const running = (this.running.get(version) ?? 0) + 1;
    this.running.set(version, running);
    if (version === 'v2')
      this.newInFlightPeak = Math.max(this.newInFlightPeak, running);
    this.lastDispatch.set(version, this.clock.nowMs());
    const at = step + Math.max(1, Math.ceil(outcome.totalMs / stepMs));
    const list = this.calendar.get(at) ?? [];
    this.calendar.set(at, list);
    list.push({engine, host: hooks.host(zone), route, version, outcome});
  }

  /** Versions in the order in which they are tried. */
  private order(
    zone: string,
    caps: readonly VersionCap[] | undefined,
  ): string[] {
    if (!caps || caps.length === 0) return ['v1'];
    const cap = (version: string) =>
      caps.find(other => other.version === version);
    const fresh = cap('v2');
    const old = cap('v1')?.share ?? 0;
    const free = this.inZone(zone, 'v2') < (fresh?.inFlight ?? 0);
    const first = (fresh?.share ?? 0) > this.rng.next() && free;
    const versions = first ? ['v2'] : [];
    if (old > 0) versions.push('v1');
    else if (!first && (fresh?.share ?? 0) > 0 && free) versions.push('v2');
    return versions;
  }

  private inZone(zone: string, version: string): number {
    let sum = 0;
    for (const engine of this.engines.engines)
      if (engine.zone === zone && engine.version === version)
        sum += engine.running;
    return sum;
  }

  /** Least loaded engine: first in the zone, then in another one if the version may spill. */
  private choose(
    zone: string,
    versions: readonly string[],
  ): SimEngine | undefined {
    const zonesIn = this.hooks.zonesIn();
    for (const version of versions) {
      let best: SimEngine | undefined;
      let bestScore = Infinity;
      for (const engine of this.engines.engines) {
        if (engine.version !== version || !this.engines.ready(engine)) continue;
        if (!zonesIn.includes(engine.zone)) continue;
        if (engine.running >= engineSlots) continue;
        const away = engine.zone === zone ? 0 : 100;
        const score = away + engine.running / engine.speed;
        if (score < bestScore) [best, bestScore] = [engine, score];
      }
      if (best) return best;
    }
    return undefined;
  }

  private finish({engine, host, route, version, outcome}: Running): void {
    engine.running--;
    this.running.set(version, (this.running.get(version) ?? 1) - 1);
    this.hooks.finished(host, {
      service: this.scenario.spec.service,
      version,
      route,
      zone: engine.zone,
      target: engine.name,
      targetEpoch: engine.epoch,
      result: outcome.failed ? 'failed' : 'ok',
      speed: engine.speed,
      ...(!outcome.failed && {
        firstTokenMs: outcome.firstTokenMs,
        tokenMs: outcome.tokenMs,
      }),
    });
  }
}
