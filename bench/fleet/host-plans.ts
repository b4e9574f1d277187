import type {Example} from '../../src/demo/example.js';
import {findFreePorts} from './free-ports.js';
import type {HostPlan} from './host-process.js';

/** Other hosts that each host contacts at its start. */
const seedCount = 3;

/**
 * Plans the hosts of a fleet: the same number in each zone of an example.
 *
 * @param example - Example with the settings of one host of each zone.
 * @param perZone - Number of hosts in a zone.
 * @param platform - Base URLs of the platform's services.
 * @returns One plan for each host.
 */
export async function planHosts(
  example: Example,
  perZone: number,
  platform: Readonly<Record<string, string>>,
): Promise<HostPlan[]> {
  const count = example.hosts.length * perZone;
  const ports = await findFreePorts(2 * count);
  const peersPorts = ports.slice(count);
  return Array.from({length: count}, (_, i) => {
    const file = example.hosts[i % example.hosts.length];
    const zone = String(file['zone']);
    const id = `${zone}-${1 + Math.floor(i / example.hosts.length)}`;
    // The next hosts in order are in other zones first, so that no zone starts as an island.
    const seeds = Array.from(
      {length: seedCount},
      (_, k) => `127.0.0.1:${peersPorts[(i + k + 1) % count]}`,
    );
    const settings = {
      ...structuredClone(file),
      host: id,
      callers: {address: '127.0.0.1', port: ports[i]},
      peers: {
        address: '127.0.0.1',
        port: peersPorts[i],
        seeds,
        tls: {mode: 'plain'},
      },
      platform,
      logLevel: 'warn',
    };
    return {
      id,
      zone,
      callersPort: ports[i],
      peersPort: peersPorts[i],
      settings,
    };
  });
}
