import {setTimeout as delay} from 'node:timers/promises';
import {Command, Option} from 'clipanion';
import {FailureError} from '../process/errors/catalogue.js';
import type {ResourceClient} from '../version/client/resource-client.js';
import {renderRollout} from '../version/rollout/render.js';
import type {RolloutStatus} from '../version/rollout/status.js';
import {ResourceCommand} from './resource-command.js';
import {exitCodes, waitForSignal} from './shared.js';

/** Polling interval of `--follow`, in milliseconds. */
const followIntervalMs = 2000;

/** Terminal states of a rollout, at which `--follow` ends. */
const finalStates = ['Done', 'TakenBack', 'Refused', 'Superseded'];

/** Prints the status of a rollout, once or until the rollout has ended. */
export class RolloutCommand extends ResourceCommand {
  static override paths = [['rollout']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description:
      'print the progress of a rollout and the evidence for its decisions',
    details:
      'Exit codes: 0 printed, 1 does not exist, 2 invalid arguments, 5 credential refused, 6 no host responded.',
    examples: [
      [
        'Follow a rollout until it has ended',
        '$0 rollout assistant-v2 --follow --host http://127.0.0.1:8080 --token-file token',
      ],
    ],
  });

  name = Option.String({name: 'NAME'});
  follow = Option.Boolean('--follow', false, {
    description: 'print the status repeatedly until the rollout has ended',
  });

  protected override async work(client: ResourceClient): Promise<number> {
    const interrupted = new AbortController();
    if (this.follow) void waitForSignal().then(() => interrupted.abort());
    for (;;) {
      const resource = this.unwrap(await client.get('rollout', this.name));
      const status = (resource.status as {rollout?: RolloutStatus}).rollout;
      if (!status) {
        const url = `/api/v1/rollout/${this.name}`;
        const reason = 'the host does not run rollouts';
        throw new FailureError({kind: 'rollout-unreadable', url, reason});
      }
      this.context.stdout.write(
        this.output === 'json'
          ? `${JSON.stringify(status)}\n`
          : renderRollout(status),
      );
      if (!this.follow || finalStates.includes(status.state))
        return exitCodes.ok;
      try {
        await delay(followIntervalMs, undefined, {signal: interrupted.signal});
      } catch {
        return exitCodes.ok;
      }
    }
  }
}
