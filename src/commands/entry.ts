import {Command, Option} from 'clipanion';
import {FailureError} from '../process/errors/catalogue.js';
import {loadSettings} from '../process/settings.js';
import {handleSignals} from '../process/signals.js';
import {createHost} from '../wiring.js';
import {exitCodes, printFailure} from './shared.js';

/** Runs an entry host until SIGTERM or SIGINT. */
export class EntryCommand extends Command {
  static override paths = [['entry']];
  static override usage = Command.Usage({
    description: 'run an entry host',
    examples: [['Run a host', '$0 entry --settings host.json']],
  });

  settings = Option.String('--settings', {
    required: true,
    description: 'JSON settings file',
  });

  async execute(): Promise<number> {
    const stopRequested = handleSignals();
    try {
      const host = createHost(await loadSettings(this.settings));
      await host.start();
      await stopRequested;
      await host.stop();
      return exitCodes.ok;
    } catch (err) {
      if (!(err instanceof FailureError)) throw err;
      printFailure(this.context.stderr, err);
      return exitCodes.usage;
    }
  }
}
