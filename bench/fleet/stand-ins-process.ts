import {readExample, type Example} from '../../src/demo/example.js';
import {ExampleStandIns} from '../../src/demo/example-stand-ins.js';
import type {
  SeenExecution,
  StandInsOrder,
  StandInsReady,
} from './fleet-messages.js';

/** Time between two looks at new executions, in milliseconds; bounds the error of their times. */
const lookMs = 20;

/** Stand-ins of an example, and the time at which each execution began. */
class StandInsProcess {
  private readonly standIns: ExampleStandIns;
  /** Wall-clock times of the executions by target, in their order. */
  private readonly seenMs = new Map<string, number[]>();

  constructor(private readonly example: Example) {
    this.standIns = new ExampleStandIns(example, 'free');
  }

  async start(): Promise<void> {
    await this.standIns.start();
    setInterval(() => this.look(), lookMs);
    process.on('message', order => this.onOrder(order as StandInsOrder));
    // The bench ended without a farewell.
    process.once('disconnect', () => process.exit(0));
    const ready: StandInsReady = {
      kind: 'ready',
      platform: this.standIns.platform,
    };
    process.send?.(ready);
  }

  private onOrder(order: StandInsOrder): void {
    const {log, hostList} = this.standIns;
    switch (order.kind) {
      case 'log':
        log.faults.down = order.down;
        break;
      case 'list-host':
        hostList.put(order.host);
        break;
      case 'unlist-host':
        hostList.remove(order.id);
        break;
      case 'executions':
        this.look();
        process.send?.({kind: 'executions', executions: this.collect()});
        break;
    }
  }

  private look(): void {
    const {engines, services} = this.standIns;
    const nowMs = Date.now();
    for (const [name, {executions}] of [...engines, ...services]) {
      const seen = this.seenMs.get(name) ?? [];
      while (seen.length < executions.length) seen.push(nowMs);
      this.seenMs.set(name, seen);
    }
  }

  private collect(): SeenExecution[] {
    const {engines, services} = this.standIns;
    const common = (target: string, index: number) => {
      const resource = this.example.resources.find(
        ({kind, name}) => kind === 'target' && name === target,
      );
      const spec = resource?.kind === 'target' ? resource.spec : undefined;
      return {
        target,
        zone: spec?.zone ?? '',
        service: spec?.service ?? '',
        seenMs: this.seenMs.get(target)?.[index] ?? 0,
      };
    };
    const all: SeenExecution[] = [];
    for (const [name, {executions}] of engines) {
      executions.forEach(({path, bodySha256, answerSha256}, i) =>
        all.push({
          ...common(name, i),
          method: 'POST',
          path,
          bodySha256,
          answerSha256,
        }),
      );
    }
    for (const [name, {executions}] of services) {
      executions.forEach(({method, path, bodySha256, answerSha256}, i) =>
        all.push({...common(name, i), method, path, bodySha256, answerSha256}),
      );
    }
    return all;
  }
}

await new StandInsProcess(await readExample('himalchuli')).start();
