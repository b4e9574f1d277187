import {Command, Option} from 'clipanion';
import {startStandIns} from '../../stand-ins/index.js';
import {exampleNames, readExample} from '../demo/example.js';
import {ExampleStandIns} from '../demo/example-stand-ins.js';
import {handleSignals} from '../process/signals.js';
import {exitCodes} from './shared.js';

/** Runs stand-ins for the platform's services and for targets on the loopback interface. */
export class StandInsCommand extends Command {
  static override paths = [['stand-ins']];
  static override usage = Command.Usage({
    description:
      'run stand-ins for the platform and for targets on the loopback interface',
    examples: [
      [
        'Run a log and two engines',
        '$0 stand-ins --log 7000 --engine 9001 --engine 9002',
      ],
      [
        'Run every dependency of the hosts of an example, with its resources in the log',
        '$0 stand-ins --example himalchuli',
      ],
    ],
  });

  example = Option.String('--example', {
    description: `example whose dependencies to run: ${exampleNames.join(' or ')}`,
  });
  log = Option.String('--log', {description: 'port of the log service'});
  hostList = Option.String('--host-list', {
    description: 'port of the host list',
  });
  weightStore = Option.String('--weight-store', {
    description: 'port of the weight store',
  });
  engines = Option.Array('--engine', [], {
    description: 'port of a model engine; can be repeated',
  });
  services = Option.Array('--service', [], {
    description: 'port of a plain HTTP service; can be repeated',
  });

  async execute(): Promise<number> {
    const stopRequested = handleSignals();
    const running = this.example
      ? await this.startExample(this.example)
      : await this.startPorts();
    if (!running) {
      const known = exampleNames.join(', ');
      this.context.stderr.write(`error: expected one of ${known}\n`);
      return exitCodes.usage;
    }
    this.context.stdout.write(`${running.text}\n`);
    await stopRequested;
    await running.stop();
    return exitCodes.ok;
  }

  private async startExample(requested: string) {
    const name = exampleNames.find(known => known === requested);
    if (!name) return undefined;
    const standIns = new ExampleStandIns(await readExample(name), 'declared');
    await standIns.start();
    return {
      text: `${standIns.size} stand-ins of ${name} are listening`,
      stop: () => standIns.stop(),
    };
  }

  private async startPorts() {
    const port = (text: string | undefined) =>
      text === undefined ? undefined : Number(text);
    const {addresses, stop} = await startStandIns({
      logPort: port(this.log),
      hostListPort: port(this.hostList),
      weightStorePort: port(this.weightStore),
      enginePorts: this.engines.map(Number),
      servicePorts: this.services.map(Number),
    });
    return {text: `stand-ins are listening: ${addresses.join(' ')}`, stop};
  }
}
