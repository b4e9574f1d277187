import assert from 'node:assert/strict';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {TestContext} from 'node:test';
import {freePort} from '../../stand-ins/free-port.js';
import {apiKey, authority, configuration} from './configuration.js';
import type {Address} from './crowd.js';
import {
  HostFixture,
  sendOnce,
  type Answered,
  type OrdinaryRequest,
} from './host-fixture.js';
import {buildBundle, HostProcess, type HostBounds} from './host-process.js';
import {StoreServer} from './store.js';
import {heartbeatMs, Target} from './target.js';

const ip = '127.0.0.1';
const events = Array.from({length: 5}, (_, i) => `id: ${i + 1}\ndata: e\n\n`);

/** Bounds that most tests give their host. */
export const smallHost: HostBounds = {memoryMb: 200, maxFds: 400};

/** Paths of the services: one that answers at once, streams, one that waits, and two with answers of 1 MiB and 200 KiB. */
export const paths = {
  plain: '/cufi504/a',
  stream: '/lohu930/a',
  late: '/puxa403/a',
  large: '/gezo217/a',
  medium: '/hadi338/a',
} as const;

const promptHeaders = {
  'X-Model': 'm',
  'X-Token-Count': '1460,480',
  'X-Prompt-Prefix': '5c1e07a2:800,91bd3f06:410',
};

const mediumAnswer = Buffer.alloc(200 * 1024);

let lastId = 0;

/** Headers of a request with an id of its own. */
export function callerHeaders(deadlineMs = 30_000): Record<string, string> {
  return {
    Host: authority,
    'X-Request-Id': (++lastId).toString(16).padStart(16, '0'),
    'X-Deadline-Ms': String(deadlineMs),
    'X-Key': apiKey,
  };
}

/** A gateway host in a process of its own, with a store and targets in this one. */
export class GatewayFixture extends HostFixture {
  private constructor(
    t: TestContext,
    host: HostProcess,
    bounds: HostBounds,
    private readonly targets: readonly Target[],
    /** Where callers, other hosts, probes and readers of metrics connect. */
    readonly addresses: Readonly<
      Record<'callers' | 'control' | 'ready' | 'metrics', Address>
    >,
    /** Ends the answers that targets of the late service hold back. */
    private readonly held: Array<() => void>,
  ) {
    super(t, host, bounds);
  }

  /** Starts everything and sends one ordinary request; all is stopped at the end of the test. */
  static async start(
    t: TestContext,
    bounds = smallHost,
  ): Promise<GatewayFixture> {
    buildBundle();
    const folder = mkdtempSync(join(tmpdir(), 'guavaseam-crowds-'));
    const store = new StoreServer();
    const held: Array<() => void> = [];
    const targets = [
      new Target('i-plain', 'plain', res => res.end('done')),
      new Target('i-late', 'late', res => held.push(() => res.end('done'))),
      new Target('i-medium', 'medium', res => res.end(mediumAnswer)),
      new Target('i-large', 'large', res => res.end(Buffer.alloc(1024 * 1024))),
      new Target('i-stream', 'stream', res => {
        res.setHeader('content-type', 'text/event-stream');
        for (const event of events) res.write(event);
        res.end();
      }),
    ];
    const storeAddress = await store.listen();
    store.put('keyed.op', 'config', configuration);
    for (const target of targets) await target.start(store, 64);
    const address = async () => ({host: ip, port: await freePort()});
    const addresses = {
      callers: await address(),
      control: await address(),
      ready: await address(),
      metrics: await address(),
    };
    const file = join(folder, 'settings.json');
    const text = (key: keyof typeof addresses) =>
      `${ip}:${addresses[key].port}`;
    writeFileSync(
      file,
      JSON.stringify({
        nodeName: 'h1',
        role: 'gateway',
        serves: ['front', 'control'],
        ip,
        zone: 'a',
        region: 'r',
        zones: {a: 'r'},
        listen: {
          front: text('callers'),
          ready: text('ready'),
          control: text('control'),
        },
        portRange: [await freePort()],
        seedNodes: [text('control')],
        bootstrap: true,
        limits: {
          cpuShare: 1,
          cpuCores: 1,
          ...bounds,
          linkMbps: 1000,
          diskMb: 0,
        },
        heartbeatMs,
        bounds: {graceS: 8},
        platform: {address: storeAddress},
      }),
    );
    const deploy = readFileSync('deploy/system.toml', 'utf8');
    const run = /^run = "node (.*)"$/m.exec(deploy);
    assert.ok(run);
    const host = new HostProcess(
      run[1].split(' '),
      {
        PATH: process.env.PATH,
        GUAVASEAM_NODE_FILE: file,
        GUAVASEAM_METRICS_PORT: String(addresses.metrics.port),
      },
      `http://${text('ready')}/api/readiness`,
      join(folder, 'host.log'),
    );
    t.after(async () => {
      await host.stop();
      for (const target of targets) target.close();
      store.close();
      rmSync(folder, {recursive: true, force: true});
    });
    await host.untilReady();
    const fixture = new GatewayFixture(
      t,
      host,
      bounds,
      targets,
      addresses,
      held,
    );
    await fixture.untilServed();
    return fixture;
  }

  /** Ends all answers that are held back, and those that follow. */
  answerLate(): void {
    for (const answer of this.held.splice(0)) answer();
    this.held.push = answer => {
      answer();
      return 0;
    };
  }

  /** Size of the body that the target of the plain service got last, in bytes. */
  get lastBodyBytes(): number {
    return this.targets[0].lastBodyBytes;
  }

  override get executed(): number {
    return this.targets.reduce((sum, {requests}) => sum + requests, 0);
  }

  override get targetSockets(): number {
    return this.targets.reduce((sum, {sockets}) => sum + sockets.size, 0);
  }

  override send(ordinary: OrdinaryRequest = {}): Promise<Answered> {
    const {path = paths.plain, body = Buffer.from('ordinary')} = ordinary;
    const {host, port} = this.addresses.callers;
    const headers = {
      ...callerHeaders(ordinary.deadlineMs),
      'Content-Length': body.length,
      ...(path === paths.stream ? promptHeaders : {}),
    };
    return sendOnce({host, port, path, headers}, body);
  }
}
