import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {Client, ChannelCredentials, type ServiceError} from '@grpc/grpc-js';
import {PeerChannels} from '../../../src/connection/peer/peer-channels.js';
import {
  linkPath,
  protocolVersion,
} from '../../../src/connection/peer/peer-codec.js';
import {loadPeerCredentials} from '../../../src/connection/peer/peer-credentials.js';
import {PeerLinks} from '../../../src/connection/peer/peer-links.js';
import {PeerServer} from '../../../src/connection/peer/peer-server.js';
import {Logger} from '../../../src/process/logger.js';
import type {ReceivedMessage} from '../../../src/process/membership/peer-transport.js';
import {Metrics} from '../../../src/process/metrics.js';
import type {Settings} from '../../../src/process/settings.js';
import {subscribe} from '../../../src/process/subject.js';
import {ManualClock} from '../../../stand-ins/manual-clock.js';

type TlsSettings = Settings['peers']['tls'];

/** One host's links on loopback. */
export interface TestPeer {
  readonly clock: ManualClock;
  readonly links: PeerLinks;
  readonly metrics: Metrics;
  readonly address: string;
  next(): Promise<ReceivedMessage>;
  close(): Promise<void>;
}

/** Names the certificate files of a host in `test/fixtures/tls`. */
export function tlsOf(name: string): TlsSettings {
  const file = (end: string) =>
    fileURLToPath(
      new URL(`../../../../test/fixtures/tls/${end}`, import.meta.url),
    );
  return {
    mode: 'mutual',
    caFile: file('ca.pem'),
    certFile: file(`${name}.pem`),
    keyFile: file(`${name}.key`),
  };
}

/** Starts the links of one host. */
export async function startPeer(
  id: string,
  options: {tls?: TlsSettings; fleet?: string; claimed?: string} = {},
): Promise<TestPeer> {
  const {tls = {mode: 'plain'}, fleet = 'test', claimed = id} = options;
  const clock = new ManualClock();
  const credentials = loadPeerCredentials(tls);
  const channels = new PeerChannels(credentials);
  const server = new PeerServer();
  const metrics = new Metrics();
  let address = '';
  const links = new PeerLinks({
    clock,
    channels,
    mode: credentials.mode,
    logger: Logger.create('silent'),
    metrics,
    own: () => ({
      fleet,
      protocol: protocolVersion,
      id: claimed,
      zone: 'a',
      region: 'r',
      address,
      incarnation: 1,
    }),
  });
  links.serve(server);
  const listen = {address: '127.0.0.1', port: 0};
  address = `127.0.0.1:${await server.listen(listen, credentials)}`;
  const waiting: ReceivedMessage[] = [];
  let wake: () => void = () => {};
  subscribe(links.messages, message => {
    waiting.push(message);
    wake();
  });
  return {
    clock,
    links,
    metrics,
    address,
    async next() {
      while (waiting.length === 0) {
        await new Promise<void>(resolve => (wake = resolve));
      }
      return waiting.shift() as ReceivedMessage;
    },
    async close() {
      const closed = links.close();
      // The clock stands still, so the bound on the wait never passes by itself.
      clock.advance(1000);
      await closed;
      channels.close();
      server.close();
    },
  };
}

/** Opens a link with raw bytes and returns the error with which the peer ended it. */
export async function openRaw(
  address: string,
  messages: readonly Buffer[],
): Promise<ServiceError> {
  const client = new Client(address, ChannelCredentials.createInsecure());
  const call = client.makeBidiStreamRequest(
    linkPath,
    (bytes: Buffer) => bytes,
    (bytes: Buffer) => bytes,
  );
  call.on('data', () => {});
  const failed = once(call, 'error');
  for (const message of messages) call.write(message);
  const [err] = (await failed) as [ServiceError];
  client.close();
  return err;
}
