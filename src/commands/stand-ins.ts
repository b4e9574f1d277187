import {Command, Option} from 'clipanion';
import {startStandIns} from '../../stand-ins/index.js';
import {exitCodes, waitForSignal} from './shared.js';

/** Runs stand-ins of the platform and of targets on loopback. */
export class StandInsCommand extends Command {
  static override paths = [['stand-ins']];
  static override usage = Command.Usage({
    description: 'run stand-ins of the platform and of targets on loopback',
    examples: [
      [
        'A log and two engines',
        '$0 stand-ins --log 7000 --engine 9001 --engine 9002',
      ],
    ],
  });

  log = Option.String('--log', {description: 'port of the log service'});
  engines = Option.Array('--engine', [], {
    description: 'port of a model engine',
  });
  services = Option.Array('--service', [], {
    description: 'port of a plain service',
  });

  async execute(): Promise<number> {
    const running = await startStandIns({
      logPort: this.log === undefined ? undefined : Number(this.log),
      enginePorts: this.engines.map(Number),
      servicePorts: this.services.map(Number),
    });
    this.context.stdout.write(
      `stand-ins are listening: ${running.addresses.join(' ')}\n`,
    );
    await waitForSignal();
    await running.stop();
    return exitCodes.ok;
  }
}
