import {Command, Option} from 'clipanion';
import {readAll} from '../version/client/apply.js';
import {planChanges} from '../version/client/difference.js';
import type {ResourceClient} from '../version/client/resource-client.js';
import {changeRows, ResourceCommand} from './resource-command.js';
import {exitCodes} from './shared.js';

/** Shows the changes that `apply` would make, without writing them. */
export class DiffCommand extends ResourceCommand {
  static override paths = [['diff']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'show the changes that apply would make',
    details:
      'Exit codes: 0 no difference, 2 invalid files, 3 differences found, 5 credential refused, 6 no host responded.',
    examples: [
      [
        'Compare a directory with the fleet',
        '$0 diff -f resources --host http://127.0.0.1:8080 --token-file token',
      ],
    ],
  });

  files = Option.String('-f,--files', {
    required: true,
    description: 'resource file or directory',
  });
  prune = Option.Boolean('--prune', false, {
    description: 'show deletions of resources that the files do not declare',
  });

  protected override async work(client: ResourceClient): Promise<number> {
    const declared = await this.readFiles(this.files);
    const current = this.unwrap(await readAll(client));
    const changes = planChanges(declared, current, this.prune);
    if (changes.length === 0) {
      this.print([], [['no difference']]);
      return exitCodes.ok;
    }
    this.print(changes, changeRows(changes));
    return exitCodes.different;
  }
}
