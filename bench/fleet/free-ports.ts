import {createServer, type AddressInfo, type Server} from 'node:net';

/**
 * Finds free TCP ports on loopback. All are held open until the last one is known, so that no port
 * is returned twice.
 *
 * @param count - Number of ports.
 * @returns The ports.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({length: count}, open));
  const ports = servers.map(server => (server.address() as AddressInfo).port);
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return ports;
}

function open(): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => resolve(server));
  });
}
