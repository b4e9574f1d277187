import {Command, Option} from 'clipanion';
import type {ResourceClient} from '../version/client/resource-client.js';
import {ResourceCommand} from './resource-command.js';
import {exitCodes, waitForSignal} from './shared.js';

/** Prints accepted changes to the resources of a kind as they occur. */
export class WatchCommand extends ResourceCommand {
  static override paths = [['watch']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description:
      'print accepted changes to the resources of a kind as they occur',
    details:
      'Runs until it is interrupted or the host ends the stream; --from resumes the stream. Exit codes: 0 interrupted or ended, 2 invalid arguments, 5 credential refused, 6 no host responded or the offset is no longer retained.',
    examples: [
      [
        'Follow rollouts',
        '$0 watch rollout --host http://127.0.0.1:8080 --token-file token',
      ],
    ],
  });

  kind = Option.String({name: 'KIND'});
  from = Option.String('--from', {
    description: 'first configuration offset; defaults to the current one',
  });

  protected override async work(client: ResourceClient): Promise<number> {
    let from =
      this.from === undefined
        ? this.unwrap(await client.list(this.kind)).offset
        : Number(this.from);
    const interrupted = new AbortController();
    void waitForSignal().then(() => interrupted.abort());
    for await (const line of client.watch(
      this.kind,
      from,
      interrupted.signal,
    )) {
      const {type, offset, name, generation} = line;
      from = Number(line['next'] ?? offset);
      if (this.output === 'json') {
        this.context.stdout.write(`${JSON.stringify(line)}\n`);
      } else if (type !== 'heartbeat') {
        this.context.stdout.write(
          `${String(offset)} ${String(type)} ${this.kind}/${String(name)} generation ${String(generation)}\n`,
        );
      }
    }
    this.context.stderr.write(`resume with --from ${from}\n`);
    return exitCodes.ok;
  }
}
