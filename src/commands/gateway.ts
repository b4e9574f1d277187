import {Command, Option} from 'clipanion';
import {FailureError} from '../process/errors/catalogue.js';
import {exitCodes, printFailure} from './shared.js';

/** Runs a gateway host on the users' platform until SIGTERM or SIGINT. */
export class GatewayCommand extends Command {
  static override paths = [['gateway']];
  static override usage = Command.Usage({
    description: "run a gateway host on the users' platform",
    examples: [
      [
        'Run a host with the settings file that the platform specifies',
        '$0 gateway',
      ],
      ['Run a host', '$0 gateway --settings node.json'],
    ],
  });

  settings = Option.String('--settings', {
    description: 'JSON settings file in the format of the platform',
  });

  async execute(): Promise<number> {
    // Imported on demand so that the other commands do not load the gateway's modules.
    const {runGateway} = await import('../../platform/run-gateway.js');
    try {
      await runGateway(this.settings);
      return exitCodes.ok;
    } catch (err) {
      if (!(err instanceof FailureError)) throw err;
      printFailure(this.context.stderr, err);
      return err.failure.kind.startsWith('settings-')
        ? exitCodes.usage
        : exitCodes.failed;
    }
  }
}
