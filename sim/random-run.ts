import {SimFleet} from './sim-fleet.js';
import type {SimHooks, SimHost} from './sim-host.js';

/** Virtual time of one step, in milliseconds. */
export const stepMs = 5;
/** Steps between two faults. */
const faultSteps = 80;
/** Steps at the start in which no fault happens. */
const calmSteps = 400;

/** Figures of one run. */
export interface RandomResult {
  readonly answered: number;
  readonly refused: number;
  readonly broken: number;
  readonly executions: number;
  readonly faults: number;
}

/** Declares three zones with two hosts, and two targets of each of two services. */
export async function startFleet(
  seed: number,
  hooks: SimHooks = {},
): Promise<SimFleet> {
  const fleet = new SimFleet(seed, hooks);
  const zones = ['a', 'b', 'c'];
  fleet.declareService('chat', 'model', [64, 64, 64, 64]);
  fleet.declareService('orders', 'plain', [64, 64, 64, 64]);
  fleet.declareOrganisation('o');
  for (const zone of zones) fleet.declareZone(zone);
  for (const zone of zones) {
    for (const i of [1, 2]) {
      fleet.declareTarget(`${zone}-chat${i}`, 'chat', zone);
      fleet.declareTarget(`${zone}-orders${i}`, 'orders', zone);
    }
  }
  for (const zone of zones) {
    for (const i of [1, 2]) fleet.start(`${zone}${i}`, zone);
  }
  await fleet.run(stepMs);
  return fleet;
}

/** Sends requests and injects faults at random, with all invariants checked after each step. */
export class RandomRun {
  private keys = 0;
  private faults = 0;
  private readonly recent: string[] = [];

  constructor(readonly fleet: SimFleet) {}

  /**
   * Runs a number of steps.
   *
   * @throws An `InvariantViolation`.
   */
  async run(steps: number): Promise<RandomResult> {
    const {fleet} = this;
    let step = 0;
    await fleet.run(
      steps * stepMs,
      () => {
        step++;
        this.load();
        if (step >= calmSteps && step % faultSteps === 0) this.fault();
      },
      stepMs,
    );
    const count = (kind: string) =>
      fleet.calls.filter(call => call.result?.kind === kind).length;
    return {
      answered: count('answered'),
      refused: count('refused'),
      broken: count('broken'),
      executions: fleet.targets.runs.length,
      faults: this.faults,
    };
  }

  private pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.fleet.random() * items.length)];
  }

  private live(): SimHost[] {
    return [...this.fleet.hosts.values()].filter(h => h.state !== 'dead');
  }

  private load(): void {
    const {fleet} = this;
    const {random} = fleet;
    if (random() >= 0.3) return;
    const host = this.pick(this.live()).self.id;
    const tier = Math.floor(random() * 4);
    const kind = random();
    const timeoutMs = random() < 0.1 ? 300 : 8000;
    const call =
      kind < 0.4
        ? fleet.send(host, {service: 'chat', tier, timeoutMs})
        : kind < 0.55
          ? fleet.send(host, {service: 'orders', tier, method: 'GET'})
          : kind < 0.65
            ? fleet.send(host, {service: 'orders', tier, timeoutMs})
            : fleet.send(host, {
                service: 'orders',
                tier,
                key: this.key(),
                timeoutMs,
              });
    if (random() < 0.03) fleet.clock.after(random() * 500, () => call.leave());
  }

  /** A new key, or one that was used before. */
  private key(): string {
    if (this.recent.length > 0 && this.fleet.random() < 0.4) {
      return this.pick(this.recent);
    }
    const key = `k${++this.keys}`;
    this.recent.push(key);
    if (this.recent.length > 20) this.recent.shift();
    return key;
  }

  private fault(): void {
    const {fleet} = this;
    const {random, clock} = fleet;
    const zones = fleet.zones;
    const [zone, other] = [this.pick(zones), this.pick(zones)];
    const running = this.live().filter(
      host => host.state === 'running' && !host.stopping,
    );
    const host = running.length > 0 ? this.pick(running) : undefined;
    const target = this.pick([...fleet.targets.targets.keys()]);
    const {id = '', zone: at = ''} = host?.self ?? {};
    const enough = running.filter(h => h.self.zone === at).length > 1;
    const act = (text: string, fn: () => void) => {
      fleet.note(text);
      this.faults++;
      fn();
    };
    const later = (ms: number, fn: () => void) => clock.after(ms, fn);
    switch (Math.floor(random() * 12)) {
      case 0:
        if (!host || !enough) return;
        return act(`kill ${id}`, () => {
          fleet.kill(id);
          later(500 + random() * 4000, () => fleet.start(id, at));
        });
      case 1: {
        if (!host) return;
        const ms = this.pick([300, 800, 1500, 4000]);
        return act(`pause ${id} for ${ms} ms`, () => {
          host.pause();
          later(ms, () => host.resume());
        });
      }
      case 2:
        if (!host || !enough) return;
        return act(`stop ${id}`, () => {
          fleet.stop(id);
          later(12_000, () => {
            if (fleet.host(id).state === 'dead') fleet.start(id, at);
          });
        });
      case 3:
        if (zone === other) return;
        return act(`cut ${zone} ${other}`, () =>
          fleet.network.cut(zone, other),
        );
      case 4:
        return act('heal', () => fleet.network.heal());
      case 5: {
        const all = random() < 0.3;
        return act(`log down ${all ? '' : zone}`, () => {
          for (const name of all ? zones : [zone]) {
            fleet.faultsOf(name).down = true;
            later(500 + random() * 6000, () => {
              fleet.faultsOf(name).down = false;
            });
          }
        });
      }
      case 6:
        return act('log loses answers', () => {
          fleet.log.faults.loseAnswers += 2;
        });
      case 7:
      case 8: {
        if (!host) return;
        const state = random() < 0.5 ? 'out' : 'in';
        return act(`zone ${zone} ${state} at ${id}`, () => {
          void fleet.setZone(id, zone, state);
        });
      }
      case 9: {
        if (!host) return;
        const state = random() < 0.4 ? 'leaving' : 'active';
        return act(`${target} ${state} at ${id}`, () => {
          void fleet.setTarget(id, target, state);
        });
      }
      case 10:
        return act(`kill ${target}`, () => {
          fleet.targets.kill(target);
          later(500 + random() * 2000, () => fleet.targets.start(target));
        });
      default:
        return act(`${target} loses answers`, () => {
          fleet.targets.get(target).loseAnswers += 3;
        });
    }
  }
}
