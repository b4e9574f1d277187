import {readFile} from 'node:fs/promises';
import {Command, Option} from 'clipanion';
import {ScenarioError} from '../../sim/scenario-parser.js';
import {ScenarioRunner} from '../../sim/scenario-runner.js';
import {exitCodes} from './shared.js';

/** Runs scenario files in virtual time, with several hosts in this process. */
export class ScenarioCommand extends Command {
  static override paths = [['scenario']];
  static override usage = Command.Usage({
    category: 'Testing',
    description: 'run scenario files in virtual time',
    details:
      'Exit codes: 0 all passed, 1 at least one failed. The format is described in docs/scenarios.md.',
    examples: [['Run a scenario', '$0 scenario scenarios/i05-zone-out.txt']],
  });

  files = Option.Rest({required: 1, name: 'FILE'});

  async execute(): Promise<number> {
    let failed = 0;
    for (const file of this.files) {
      try {
        await new ScenarioRunner().run(await readFile(file, 'utf8'));
        this.context.stdout.write(`pass ${file}\n`);
      } catch (err) {
        if (!(err instanceof ScenarioError)) throw err;
        failed++;
        this.context.stdout.write(`fail ${file}:${err.message}\n`);
      }
    }
    return failed > 0 ? 1 : exitCodes.ok;
  }
}
