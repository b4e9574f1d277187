import {existsSync} from 'node:fs';
import {join} from 'node:path';
import {PeerChannels} from '../src/connection/peer/peer-channels.js';
import {protocolVersion} from '../src/connection/peer/peer-codec.js';
import {loadPeerCredentials} from '../src/connection/peer/peer-credentials.js';
import {PeerLinks} from '../src/connection/peer/peer-links.js';
import {PeerServer} from '../src/connection/peer/peer-server.js';
import {SystemClock} from '../src/process/clock.js';
import {Logger} from '../src/process/logger.js';
import type {Probe} from '../src/process/membership/messages.js';
import {Metrics} from '../src/process/metrics.js';
import {subscribe} from '../src/process/subject.js';

const messages = 4000;
/** Below the rate bound of a link. */
const messagesPerLink = 400;

async function startEnd(id: string) {
  const folder = 'test/fixtures/tls';
  if (!existsSync(folder)) throw new Error('run from the root of the package');
  const credentials = loadPeerCredentials({
    mode: 'mutual',
    caFile: join(folder, 'ca.pem'),
    certFile: join(folder, `${id}.pem`),
    keyFile: join(folder, `${id}.key`),
  });
  const channels = new PeerChannels(credentials);
  const server = new PeerServer();
  const listen = {address: '127.0.0.1', port: 0};
  let address = '';
  const links = new PeerLinks({
    clock: new SystemClock(),
    channels,
    mode: credentials.mode,
    logger: Logger.create('silent'),
    metrics: new Metrics(),
    own: () => ({
      fleet: 'bench',
      protocol: protocolVersion,
      id,
      zone: 'a',
      region: 'r',
      address,
      incarnation: 1,
    }),
  });
  links.serve(server);
  address = `127.0.0.1:${await server.listen(listen, credentials)}`;
  const close = async () => {
    await links.close();
    channels.close();
    server.close();
  };
  return {id, links, address, close};
}

/**
 * Measures links on loopback with mutual TLS, both ends in this process.
 *
 * @returns CPU time of a message at one end in microseconds, memory of a link at both ends in bytes.
 */
export async function measureLinks(): Promise<{
  microseconds: number;
  bytes: number;
}> {
  const probe: Probe = {
    sequence: 1,
    incarnation: 1_767_225_600,
    version: 1,
    configOffset: 1_000_000,
    summary: new Uint8Array(16),
    updates: [],
    zones: [],
    offsets: [{stream: 'config', next: 1_000_000}],
    sync: false,
    reached: '',
  };
  let spent = 0;
  const memory: number[] = [];
  for (let done = 0; done < messages; done += messagesPerLink) {
    const [a, b] = await Promise.all([startEnd('h1'), startEnd('h2')]);
    const {heapUsed, external} = process.memoryUsage();
    subscribe(b.links.messages, ({from}) => {
      b.links.send({id: from.id, address: from.address}, {ack: probe});
    });
    let wake: () => void = () => {};
    subscribe(a.links.messages, () => wake());
    let before = process.cpuUsage();
    for (let i = 0; i < messagesPerLink / 2; i++) {
      const answered = new Promise<void>(resolve => (wake = resolve));
      a.links.send({id: 'h2', address: b.address}, {ping: probe});
      await answered;
      // The first exchange contains the handshake.
      if (i === 0) {
        before = process.cpuUsage();
        const now = process.memoryUsage();
        memory.push(now.heapUsed + now.external - heapUsed - external);
      }
    }
    const {user, system} = process.cpuUsage(before);
    spent += user + system;
    await Promise.all([a.close(), b.close()]);
  }
  memory.sort((x, y) => x - y);
  // Each message is sent and received, so it costs two ends.
  return {
    microseconds: spent / messages / 2,
    bytes: memory[Math.floor(memory.length / 2)],
  };
}
