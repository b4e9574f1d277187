import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';
import {listenOnce} from '../src/connection/http/listen.js';

const address = '127.0.0.1';
/** Ports below those that systems give to outgoing connections, which could take one until it is used. */
const firstPort = 20_000;
const portCount = 10_000;
/** Ports that a process takes at a time. */
const blockPorts = 100;
/** Number of blocks that are tried. */
const maxAttempts = 200;

let nextPort = 0;
let blockEnd = 0;
let draws: Promise<unknown> = Promise.resolve();

/**
 * Finds a port of 127.0.0.1 that nothing listens on, for a server whose port others have to know before it listens. No port is
 * found twice, also not by other processes that use this function at the same time.
 *
 * @returns The port.
 * @throws Error if no port could be bound.
 */
export function freePort(): Promise<number> {
  const port = draws.then(drawPort);
  draws = port.catch(() => {});
  return port;
}

async function drawPort(): Promise<number> {
  for (;;) {
    if (nextPort >= blockEnd) await takeBlock();
    const port = nextPort++;
    const server = createServer();
    try {
      await listenOnce(server, {address, port});
    } catch {
      // Something else listens on it.
      continue;
    }
    await new Promise(resolve => server.close(resolve));
    return port;
  }
}

/** Takes a block of ports; its first one is bound for the life of the process, so that no other process takes the block. */
async function takeBlock(): Promise<void> {
  for (let attempt = 1; ; attempt++) {
    const start =
      firstPort + blockPorts * randomInt(Math.floor(portCount / blockPorts));
    const marker = createServer();
    try {
      await listenOnce(marker, {address, port: start});
    } catch (err) {
      if (attempt === maxAttempts) throw err;
      continue;
    }
    marker.unref();
    nextPort = start + 1;
    blockEnd = start + blockPorts;
    return;
  }
}
