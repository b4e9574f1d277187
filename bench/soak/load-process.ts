import {readExample, type Example} from '../../src/demo/example.js';
import {ExampleStandIns} from '../../src/demo/example-stand-ins.js';
import {planLoad} from '../../src/demo/load-plan.js';
import {LoadSender} from '../../src/demo/load-sender.js';
import {countBy} from '../../src/demo/tally.js';
import {SystemClock} from '../../src/process/clock.js';
import {seededRandom, type Random} from '../../stand-ins/seeded-random.js';
import {callAbnormally} from './abnormal-callers.js';
import {RandomFaults} from './random-faults.js';
import type {CycleOrder, CycleReport} from './soak-messages.js';

/** Share of keyed requests that are sent again through another host. */
const resendShare = 0.3;

/** Stand-ins and callers of a soak, in a process apart from the hosts that are measured. */
class LoadProcess {
  private readonly clock = new SystemClock();
  private readonly standIns: ExampleStandIns;

  constructor(private readonly example: Example) {
    this.standIns = new ExampleStandIns(example, 'free');
  }

  async start(): Promise<void> {
    await this.standIns.start();
    process.on('message', message => void this.onMessage(message));
    process.once('disconnect', () => process.exit(0));
    process.send?.({kind: 'ready', platform: this.standIns.platform});
  }

  private async onMessage(message: unknown): Promise<void> {
    const order = message as CycleOrder | {kind: 'hosts'; hosts: object[]};
    if (order.kind === 'hosts') {
      for (const host of order.hosts) {
        this.standIns.hostList.put(
          host as Parameters<typeof this.standIns.hostList.put>[0],
        );
      }
      return;
    }
    process.send?.(await this.runCycle(order));
  }

  private async runCycle(order: CycleOrder): Promise<CycleReport> {
    const random = seededRandom(order.seed);
    const plan = planLoad(
      this.example,
      {
        seconds: order.seconds,
        requestsPerSecond: order.requestsPerSecond,
        resendShare,
        resendTo: 'other',
      },
      random,
    );
    const faults = new RandomFaults(this.standIns, seededRandom(order.seed));
    if (order.faults) faults.start();
    const sender = new LoadSender(this.clock, order.origins);
    const [results, abnormal] = await Promise.all([
      sender.run(plan),
      this.runAbnormal(order, random),
    ]);
    await faults.stop();
    const {length: duplicates} = this.findDuplicates();
    return {
      kind: 'cycle',
      outcomes: Object.fromEntries(
        countBy(results, ({outcome}) =>
          outcome.kind === 'answered'
            ? `answered ${outcome.status}`
            : `${outcome.kind}: ${outcome.reason}`,
        ),
      ),
      abnormal,
      faults: faults.counts,
      duplicates,
    };
  }

  private async runAbnormal(
    order: CycleOrder,
    random: Random,
  ): Promise<Record<string, number>> {
    const names: string[] = [];
    const open: Promise<void>[] = [];
    const count = Math.round(order.seconds * order.abnormalPerSecond);
    for (let i = 0; i < count; i++) {
      await new Promise(resolve =>
        setTimeout(resolve, 1000 / order.abnormalPerSecond),
      );
      const origin = order.origins[Math.floor(random() * order.origins.length)];
      const {keys, operatorToken, resources} = this.example;
      const key = keys[Math.floor(random() * keys.length)];
      const model = resources.find(
        ({kind, spec}) =>
          kind === 'service' && 'type' in spec && spec.type === 'model',
      );
      const {name, ended} = callAbnormally(
        {
          port: Number(new URL(origin).port),
          token: key.token,
          model: model?.name ?? '',
          operatorToken,
        },
        random,
      );
      names.push(name);
      open.push(ended);
    }
    await Promise.all(open);
    return Object.fromEntries(countBy(names, name => name));
  }

  /** Keys that were executed more than once since the start. */
  private findDuplicates(): string[] {
    const keys = [...this.standIns.services.values()].flatMap(service =>
      service.executions.flatMap(({key}) => (key === undefined ? [] : [key])),
    );
    return [...countBy(keys, key => key)].flatMap(([key, count]) =>
      count > 1 ? [key] : [],
    );
  }
}

await new LoadProcess(await readExample('himalchuli')).start();
