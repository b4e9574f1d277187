import {Command, Option} from 'clipanion';
import {FailureError} from '../process/errors/catalogue.js';
import {loadSettings} from '../process/settings.js';
import {readResourceFiles} from '../version/client/resource-files.js';
import {exitCodes, printFailure} from './shared.js';

/** Validates a settings file or resource files without contacting a host. */
export class CheckCommand extends Command {
  static override paths = [['check']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description:
      'validate settings or resource files without contacting a host',
    details:
      'Exit codes: 0 valid, 2 invalid or unreadable; each error is printed with its path.',
    examples: [
      ['Validate settings', '$0 check host.json'],
      [
        'Validate all resource files below a directory',
        '$0 check -f resources',
      ],
    ],
  });

  settings = Option.String({required: false, name: 'SETTINGS'});
  files = Option.String('-f,--files', {
    description: 'resource file or directory',
  });

  async execute(): Promise<number> {
    if ((this.settings === undefined) === (this.files === undefined)) {
      this.context.stderr.write('error: give either SETTINGS or -f\n');
      return exitCodes.usage;
    }
    try {
      if (this.settings !== undefined) {
        await loadSettings(this.settings);
        this.context.stdout.write('settings are valid\n');
        return exitCodes.ok;
      }
      return await this.checkFiles(this.files as string);
    } catch (err) {
      if (!(err instanceof FailureError)) throw err;
      printFailure(this.context.stderr, err);
      return exitCodes.usage;
    }
  }

  private async checkFiles(path: string): Promise<number> {
    const {resources, faults} = await readResourceFiles(path);
    for (const {file, path: field, reason} of faults) {
      this.context.stderr.write(`${file}: ${field} ${reason}\n`);
    }
    if (faults.length > 0) return exitCodes.usage;
    this.context.stdout.write(`${resources.length} resources are valid\n`);
    return exitCodes.ok;
  }
}
