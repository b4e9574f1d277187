import {createHash} from 'node:crypto';
import {Agent, request} from 'undici';
import {HttpLogClient} from '../../src/connection/platform/http-log-client.js';
import {createHost, type Host, type HostParts} from '../../src/index.js';
import {checkSettings} from '../../src/process/settings.js';
import {LogServer} from '../../stand-ins/index.js';

export const token = 'test-key';
export const authorization = `Bearer ${token}`;

export function put(kind: string, name: string, spec: unknown) {
  return {
    writeId: `${kind}-${name}`,
    actor: 'test',
    time: '2026-01-01T00:00:00Z',
    op: 'put',
    kind,
    name,
    baseGeneration: 0,
    spec,
  };
}

export interface TestTarget {
  readonly service: string;
  readonly address: string;
}

export interface TestHost {
  readonly host: Host;
  readonly origin: string;
  readonly port: number;
}

/** Starts hosts with a model service `chat` and a plain service `orders`, and waits until they are ready. */
export async function startHosts(options: {
  readonly targets: readonly TestTarget[];
  readonly hosts?: number;
  readonly callers?: Record<string, unknown>;
  readonly parts?: HostParts;
  /** Limits of the organisation `o`, which sends the requests. */
  readonly limits?: {requestsPerSecond?: number; concurrency?: number};
}): Promise<{hosts: TestHost[]; stop(): Promise<void>}> {
  const log = new LogServer();
  await log.listen();
  const client = new HttpLogClient(log.address);
  const sha256 = createHash('sha256').update(token).digest('hex');
  const service = {
    version: 'v1',
    defaultTimeoutMs: 20_000,
    firstTokenTargetMs: 500,
    tokenTargetMs: 50,
  };
  const records = [
    put('zone', 'a', {region: 'r', state: 'in'}),
    put('organisation', 'o', {
      keys: [{id: 'k', sha256, tier: 0}],
      weight: 1,
      limits: options.limits,
    }),
    put('service', 'chat', {type: 'model', ...service}),
    put('service', 'orders', {type: 'plain', ...service}),
    ...options.targets.map((target, i) =>
      put('target', `t${i}`, {
        ...target,
        zone: 'a',
        version: 'v1',
        maxConcurrency: 10_000,
      }),
    ),
  ];
  for (const record of records) await client.append('config', record);
  const hosts: TestHost[] = [];
  for (let i = 0; i < (options.hosts ?? 1); i++) {
    const settings = checkSettings({
      host: `h${i}`,
      fleet: 'test',
      zone: 'a',
      region: 'r',
      callers: {address: '127.0.0.1', port: 0, ...options.callers},
      peers: {address: '127.0.0.1', port: 0, tls: {mode: 'plain'}},
      platform: {logUrl: log.address},
      logLevel: 'silent',
    });
    const host = createHost(settings, options.parts);
    const {callersPort: port} = await host.start();
    const origin = `http://127.0.0.1:${port}`;
    // The shared agent would keep its connection open, and the host would count it.
    const dispatcher = new Agent();
    for (let ready = 0; ready !== 200;) {
      const probe = await request(`${origin}/readyz`, {dispatcher});
      await probe.body.dump();
      ready = probe.statusCode;
    }
    await dispatcher.destroy();
    hosts.push({host, origin, port});
  }
  return {
    hosts,
    async stop() {
      await Promise.all(hosts.map(({host}) => host.stop()));
      await client.close();
      await log.close();
    },
  };
}
