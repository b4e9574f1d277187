import type {ServiceFault} from '../../stand-ins/service-server.js';
import type {Random} from '../../stand-ins/seeded-random.js';
import type {ExampleStandIns} from '../../src/demo/example-stand-ins.js';
import {countBy} from '../../src/demo/tally.js';

const serviceFaults: readonly ServiceFault['kind'][] = [
  'fail',
  'refuse',
  'drop-before',
  'drop-after',
];
/** Bounds of the time between two faults, in milliseconds. */
const leastGapMs = 500;
const mostGapMs = 2500;

/** Breaks stand-ins at random times and in random ways, by seed. */
export class RandomFaults {
  private readonly done: string[] = [];
  private readonly pending = new Set<Promise<void>>();
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param standIns - Stand-ins to break.
   * @param random - Source of random numbers.
   */
  constructor(
    private readonly standIns: ExampleStandIns,
    private readonly random: Random,
  ) {}

  /** Starts to inject faults. */
  start(): void {
    const gapMs = leastGapMs + this.random() * (mostGapMs - leastGapMs);
    this.timer = setTimeout(() => {
      this.inject();
      this.start();
    }, gapMs);
  }

  /** Ends the faults, once all stand-ins serve again. */
  async stop(): Promise<void> {
    clearTimeout(this.timer);
    await Promise.all(this.pending);
    this.standIns.log.faults.loseAnswers = 0;
    for (const service of this.standIns.services.values()) {
      service.setFault(undefined);
      service.delayMs = 0;
    }
  }

  /** Numbers of injected faults by name. */
  get counts(): Record<string, number> {
    return Object.fromEntries(countBy(this.done, name => name));
  }

  private inject(): void {
    const {standIns, random} = this;
    const engine = this.pick([...standIns.engines.values()]);
    const service = this.pick([...standIns.services.values()]);
    const {faults} = standIns.log;
    const faultsByName: Record<string, () => void> = {
      'engine-crash': () => engine.crash(),
      'engine-cold': () => engine.goCold(),
      'streams-broken': () => engine.breakStreams(),
      'service-fault': () =>
        service.setFault({
          kind: this.pick(serviceFaults),
          count: 1 + Math.floor(random() * 5),
        }),
      'service-slow': () =>
        this.during(
          () => (service.delayMs = 500),
          () => (service.delayMs = 0),
        ),
      'service-killed': () => {
        const port = Number(new URL(service.address).port);
        this.during(
          () => service.close(),
          () => service.listen(port),
        );
      },
      'log-down': () =>
        this.during(
          () => (faults.down = true),
          () => (faults.down = false),
        ),
      'log-lossy': () => void (faults.loseAnswers += 3),
      'log-slow': () =>
        this.during(
          () => (faults.slowMs = 200),
          () => (faults.slowMs = 0),
        ),
      'host-list-down': () =>
        this.during(
          () => (standIns.hostList.down = true),
          () => (standIns.hostList.down = false),
        ),
    };
    const name = this.pick(Object.keys(faultsByName));
    faultsByName[name]();
    this.done.push(name);
  }

  /** Begins a fault and ends it after one to five seconds. */
  private during(begin: () => unknown, end: () => unknown): void {
    const lengthMs = 1000 + this.random() * 4000;
    const run = async () => {
      await begin();
      await new Promise(resolve => setTimeout(resolve, lengthMs));
      // A service that was killed twice listens again already.
      await Promise.resolve(end()).catch(() => {});
    };
    const running = run().finally(() => this.pending.delete(running));
    this.pending.add(running);
  }

  private pick<T>(values: readonly T[]): T {
    return values[Math.floor(this.random() * values.length)];
  }
}
