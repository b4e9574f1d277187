import {fork, type ChildProcess} from 'node:child_process';
import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {HttpLogClient} from '../src/connection/platform/http-log-client.js';
import {createHost} from '../src/index.js';
import {checkSettings} from '../src/process/settings.js';
import {LogServer} from '../stand-ins/index.js';

/** Key of the organisation that the benches use. */
export const token = 'bench-key';

/** Marks the process that runs the host. */
const hostArgument = 'bench-host';

/** Figures of the host's process. */
export interface HostFigures {
  readonly cpuMs: number;
  readonly heapBytes: number;
  readonly residentBytes: number;
}

/** Runs a host in a process of its own, so that its processor time, memory and files can be told apart. */
async function hostProcess(logUrl: string): Promise<void> {
  const host = createHost(
    checkSettings({
      host: 'bench',
      fleet: 'bench',
      zone: 'a',
      region: 'r',
      callers: {address: '127.0.0.1', port: 0},
      peers: {address: '127.0.0.1', port: 0, tls: {mode: 'plain'}},
      platform: {logUrl},
      drainMs: 0,
      logLevel: 'silent',
    }),
  );
  const {callersPort} = await host.start();
  process.on('message', async (message: 'figures' | 'stop') => {
    if (message === 'stop') {
      await host.stop();
      process.disconnect();
      return;
    }
    // Read before the collection, which would otherwise count as work of the host.
    const {user, system} = process.cpuUsage();
    globalThis.gc?.();
    const {heapUsed, rss} = process.memoryUsage();
    process.send?.({
      cpuMs: (user + system) / 1000,
      heapBytes: heapUsed,
      residentBytes: rss,
    } satisfies HostFigures);
  });
  process.send?.(callersPort);
}

async function ask(child: ChildProcess): Promise<HostFigures> {
  const answered = once(child, 'message');
  child.send('figures');
  const [figures] = (await answered) as [HostFigures];
  return figures;
}

async function declare(logUrl: string, address: string): Promise<void> {
  const client = new HttpLogClient(logUrl);
  const sha256 = createHash('sha256').update(token).digest('hex');
  const specs: [string, string, unknown][] = [
    ['zone', 'a', {region: 'r', state: 'in'}],
    ['organisation', 'o', {keys: [{id: 'k', sha256, tier: 0}], weight: 1}],
    [
      'service',
      'chat',
      {
        type: 'model',
        version: 'v1',
        defaultTimeoutMs: 120_000,
        firstTokenTargetMs: 500,
        tokenTargetMs: 50,
      },
    ],
    [
      'target',
      't',
      {
        service: 'chat',
        zone: 'a',
        address,
        version: 'v1',
        maxConcurrency: 100_000,
        coldConcurrency: 100_000,
      },
    ],
  ];
  for (const [kind, name, spec] of specs) {
    await client.append('config', {
      writeId: `${kind}-${name}`,
      actor: 'bench',
      time: '2026-01-01T00:00:00Z',
      op: 'put',
      kind,
      name,
      baseGeneration: 0,
      spec,
    });
  }
  await client.close();
}

/** A host in a process of its own, in front of one engine. */
export interface HostProcess {
  /** Base URL for callers. */
  readonly origin: string;

  /** Reads the figures of the process, after a garbage collection. */
  figures(): Promise<HostFigures>;

  /** Stops the host and its log. */
  stop(): Promise<void>;
}

/** Starts a log and a host in front of an engine, and waits until the host is ready. */
export async function startHostProcess(engine: string): Promise<HostProcess> {
  const log = new LogServer();
  await log.listen();
  await declare(log.address, engine);
  const child = fork(
    fileURLToPath(import.meta.url),
    [hostArgument, log.address],
    {execArgv: ['--expose-gc']},
  );
  const [port] = (await once(child, 'message')) as [number];
  const origin = `http://127.0.0.1:${port}`;
  for (let ready = 0; ready !== 200;) {
    const probe = await request(`${origin}/readyz`);
    await probe.body.dump();
    ready = probe.statusCode;
  }
  return {
    origin,
    figures: () => ask(child),
    async stop() {
      child.send('stop');
      await once(child, 'exit');
      await log.close();
    },
  };
}

if (process.argv[2] === hostArgument) await hostProcess(process.argv[3]);
