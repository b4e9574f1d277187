import {Command} from 'clipanion';
import type {ResourceClient} from '../version/client/resource-client.js';
import {ResourceCommand} from './resource-command.js';
import {exitCodes} from './shared.js';

/** Prints which configuration is in effect in each zone. */
export class StatusCommand extends ResourceCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'print which configuration is in effect in each zone',
    details:
      'A zone without a reachable host is Unknown. Exit codes: 0 printed, 2 invalid arguments, 5 credential refused, 6 no host responded.',
    examples: [
      [
        'Print the status as reported by one host',
        '$0 status --host http://127.0.0.1:8080 --token-file token',
      ],
    ],
  });

  protected override async work(client: ResourceClient): Promise<number> {
    const status = this.unwrap(await client.status());
    this.print(status, [
      ['ZONE', 'STATE', 'CONFIG OFFSET', 'HOSTS', 'SINCE'],
      ...status.zones.map(zone => [
        zone.zone,
        zone.state,
        String(zone.configOffset),
        String(zone.hosts),
        zone.since,
      ]),
      [],
      ['answered by', status.answeredBy],
      ['log', status.log],
      ['offset', String(status.configOffset)],
    ]);
    return exitCodes.ok;
  }
}
