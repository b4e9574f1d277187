import {Command, Option} from 'clipanion';
import type {ResourceClient} from '../version/client/resource-client.js';
import {ResourceCommand} from './resource-command.js';
import {exitCodes} from './shared.js';

/** Prints one resource with its status, or lists all resources of a kind. */
export class GetCommand extends ResourceCommand {
  static override paths = [['get']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description:
      'print one resource with its status, or list all resources of a kind',
    details:
      'Exit codes: 0 found, 1 does not exist, 2 invalid arguments, 5 credential refused, 6 no host responded.',
    examples: [
      [
        'List targets',
        '$0 get target --host http://127.0.0.1:8080 --token-file token',
      ],
      [
        'Print one zone as JSON',
        '$0 get zone beni --output json --host http://127.0.0.1:8080 --token-file token',
      ],
    ],
  });

  kind = Option.String({name: 'KIND'});
  name = Option.String({required: false, name: 'NAME'});

  protected override async work(client: ResourceClient): Promise<number> {
    if (this.name === undefined) {
      const list = this.unwrap(await client.list(this.kind));
      const rows = list.items.map(
        ({name, generation, writtenBy, writtenAt}) => [
          name,
          String(generation),
          writtenBy,
          writtenAt,
        ],
      );
      this.print(list, [['NAME', 'GENERATION', 'WRITTEN BY', 'AT'], ...rows]);
      return exitCodes.ok;
    }
    const resource = this.unwrap(await client.get(this.kind, this.name));
    const {status, spec} = resource;
    this.print(resource, [
      ['FIELD', 'VALUE'],
      ['generation', String(resource.generation)],
      ['written', `${resource.writtenBy} ${resource.writtenAt}`],
      ...Object.entries(spec).map(([key, value]) => [
        `spec.${key}`,
        JSON.stringify(value),
      ]),
      ...status.conditions.map(({type, status, reason, message}) => [
        type,
        `${status} ${reason}: ${message}`,
      ]),
      ...status.zones.map(({zone, inEffect, since}) => [
        `zone ${zone}`,
        `in effect: ${inEffect}${since ? ` since ${since}` : ''}`,
      ]),
      ['answered by', status.answeredBy],
    ]);
    return exitCodes.ok;
  }
}
