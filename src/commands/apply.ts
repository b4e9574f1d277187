import {Command, Option} from 'clipanion';
import {
  applyChanges,
  readAll,
  waitUntilInEffect,
  type AppliedChange,
  type WaitTimer,
  type WaitResult,
} from '../version/client/apply.js';
import {planChanges} from '../version/client/difference.js';
import type {ResourceClient} from '../version/client/resource-client.js';
import {changeRows, exitCodeOf, ResourceCommand} from './resource-command.js';
import {exitCodes} from './shared.js';
import {formatTable} from './table.js';

const waiting: WaitTimer = {
  nowMs: () => performance.now(),
  sleep: ms => new Promise(resolve => setTimeout(resolve, ms)),
};

/** Applies resource files to the fleet. */
export class ApplyCommand extends ResourceCommand {
  static override paths = [['apply']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'apply resource files to the fleet',
    details: `
      Prints the difference, then writes the changes in dependency order, so that each resource
      follows those it references, and stops at the first one that fails. The output lists which changes
      were applied, which were not, and which have an unknown result. Running the command again continues
      with the remaining changes; without a difference nothing is written.

      Exit codes: 0 all applied (and in effect, with --wait), 1 failed and nothing applied, 2 invalid
      files or arguments, 4 partly applied, 5 credential refused, 6 no host responded or the log is
      unavailable, 7 conflict with a concurrent write, 8 applied but not in effect before the timeout.
    `,
    examples: [
      [
        'Apply a directory and wait until it is in effect in every zone',
        '$0 apply -f resources --wait --host http://127.0.0.1:8080 --token-file token',
      ],
      [
        'Show the planned changes, including deletions',
        '$0 apply -f resources --prune --dry-run --host http://127.0.0.1:8080 --token-file token',
      ],
    ],
  });

  files = Option.String('-f,--files', {
    required: true,
    description: 'resource file or directory',
  });
  prune = Option.Boolean('--prune', false, {
    description:
      'delete undeclared resources of each kind that the files declare',
  });
  dryRun = Option.Boolean('--dry-run', false, {
    description: 'show the difference without applying it',
  });
  wait = Option.Boolean('--wait', false, {
    description:
      'wait until the changes are in effect in every zone and rollouts have ended',
  });
  waitTimeout = Option.String('--wait-timeout', '60', {
    description: 'maximum time to wait, in seconds',
  });

  protected override async work(client: ResourceClient): Promise<number> {
    const timeoutMs = Number(this.waitTimeout) * 1000;
    if (!(timeoutMs >= 0)) {
      this.context.stderr.write('error: --wait-timeout must be a number\n');
      return exitCodes.usage;
    }
    const declared = await this.readFiles(this.files);
    const current = this.unwrap(await readAll(client));
    const changes = planChanges(declared, current, this.prune);
    if (this.output === 'table') {
      this.context.stdout.write(
        changes.length === 0
          ? 'no difference\n'
          : formatTable(changeRows(changes)),
      );
    }
    const results = this.dryRun
      ? []
      : await applyChanges(client, changes, waiting);
    const failed = results.filter(({result}) => result !== 'applied');
    const waited =
      this.wait && !this.dryRun && failed.length === 0
        ? await waitUntilInEffect(client, results, {timeoutMs, waiting})
        : undefined;
    this.report(changes, results, waited);
    if (failed.length > 0) return exitCodeOfResults(results);
    return waited?.kind === 'timed-out' ? exitCodes.waitTimedOut : exitCodes.ok;
  }

  private report(
    changes: readonly unknown[],
    results: readonly AppliedChange[],
    waited: WaitResult | undefined,
  ): void {
    const {stdout} = this.context;
    if (this.output === 'json') {
      this.print({changes, dryRun: this.dryRun, results, waited}, []);
      return;
    }
    for (const {result, change, reason, writeId, warnings} of results) {
      const detail = reason ? `: ${reason} (write ${writeId ?? '-'})` : '';
      stdout.write(`${result} ${change.kind}/${change.name}${detail}\n`);
      for (const warning of warnings) stdout.write(`  warning: ${warning}\n`);
    }
    if (waited?.kind === 'timed-out') {
      for (const item of waited.missing) stdout.write(`not reached: ${item}\n`);
    } else if (waited) {
      stdout.write('in effect in every zone\n');
      for (const {name, reason} of waited.rollouts) {
        stdout.write(`rollout ${name}: ${reason}\n`);
      }
    }
  }
}

/**
 * Maps the results of a failed or partial apply to an exit code.
 *
 * @param results - Results, at least one of which is not `applied`.
 * @returns `partial` if a change was applied, otherwise the code of the first failure.
 */
export function exitCodeOfResults(results: readonly AppliedChange[]): number {
  if (results.some(({result}) => result === 'applied')) {
    return exitCodes.partial;
  }
  const failed = results.find(({result}) => result !== 'applied');
  return failed?.problem ? exitCodeOf(failed.problem) : exitCodes.unavailable;
}
