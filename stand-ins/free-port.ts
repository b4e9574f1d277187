import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';
import {listenOnce} from '../src/connection/http/listen.js';

/** Ports below those that systems give to outgoing connections, which could take one until it is used. */
const firstPort = 20_000;
const portCount = 10_000;
/** Number of ports that are tried. */
const maxAttempts = 20;

/**
 * Finds a port of 127.0.0.1 that nothing listens on, for a server whose port others have to know before it listens.
 *
 * @returns The port.
 * @throws Error if no port could be bound.
 */
export async function freePort(): Promise<number> {
  for (let attempt = 1; ; attempt++) {
    const port = firstPort + randomInt(portCount);
    const server = createServer();
    try {
      await listenOnce(server, {address: '127.0.0.1', port});
      await new Promise(resolve => server.close(resolve));
      return port;
    } catch (err) {
      if (attempt === maxAttempts) throw err;
    }
  }
}
