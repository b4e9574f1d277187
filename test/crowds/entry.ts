import {createHash} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {TestContext} from 'node:test';
import {HttpLogClient} from '../../src/connection/platform/http-log-client.js';
import {freePort} from '../../stand-ins/free-port.js';
import {LogServer} from '../../stand-ins/index.js';
import {authorization, put, token} from '../request/fixtures.js';
import type {Address} from './crowd.js';
import {
  HostFixture,
  sendOnce,
  type Answered,
  type OrdinaryRequest,
} from './host-fixture.js';
import {HostProcess, type HostBounds} from './host-process.js';
import {Target} from './target.js';

const ip = '127.0.0.1';
/** What an entry host must stay under; its settings state neither. */
const bounds: HostBounds = {memoryMb: 300, maxFds: 500};

/** Paths of a service that answers at once, and of one with answers of 1 MiB. */
export const paths = {
  plain: '/services/plain/a',
  large: '/services/large/a',
} as const;

/** Headers of a request to an entry host. */
export function callerHeaders(timeoutMs = 30_000): Record<string, string> {
  return {
    Host: ip,
    Authorization: authorization,
    'Request-Timeout-Ms': String(timeoutMs),
  };
}

/** An entry host in a process of its own, with a log and targets in this one. */
export class EntryFixture extends HostFixture {
  private constructor(
    t: TestContext,
    host: HostProcess,
    readonly callers: Address,
    private readonly targets: readonly Target[],
  ) {
    super(t, host, bounds);
  }

  /** Starts everything and sends one ordinary request; all is stopped at the end of the test. */
  static async start(t: TestContext): Promise<EntryFixture> {
    const log = new LogServer();
    await log.listen();
    const targets = [
      new Target('t-plain', 'plain', res => res.end('done')),
      new Target('t-large', 'large', res => res.end(Buffer.alloc(1024 * 1024))),
    ];
    await configure(log, targets);
    const folder = mkdtempSync(join(tmpdir(), 'guavaseam-crowds-'));
    const file = join(folder, 'settings.json');
    const port = await freePort();
    writeFileSync(
      file,
      JSON.stringify({
        host: 'h1',
        fleet: 'test',
        zone: 'a',
        region: 'r',
        callers: {address: ip, port},
        peers: {address: ip, port: 0, tls: {mode: 'plain'}},
        platform: {logUrl: log.address},
      }),
    );
    const host = new HostProcess(
      ['dist/src/main.js', 'entry', '--settings', file],
      {PATH: process.env.PATH},
      `http://${ip}:${port}/readyz`,
      join(folder, 'host.log'),
    );
    t.after(async () => {
      await host.stop();
      for (const target of targets) target.close();
      await log.close();
      rmSync(folder, {recursive: true, force: true});
    });
    await host.untilReady();
    const fixture = new EntryFixture(t, host, {host: ip, port}, targets);
    await fixture.untilServed();
    return fixture;
  }

  override get executed(): number {
    return this.targets.reduce((sum, {requests}) => sum + requests, 0);
  }

  override get targetSockets(): number {
    return this.targets.reduce((sum, {sockets}) => sum + sockets.size, 0);
  }

  override send(ordinary: OrdinaryRequest = {}): Promise<Answered> {
    const {path = paths.plain, body = Buffer.from('ordinary')} = ordinary;
    const headers = {
      ...callerHeaders(ordinary.deadlineMs),
      'Content-Length': body.length,
    };
    return sendOnce({...this.callers, path, headers}, body);
  }
}

async function configure(log: LogServer, targets: readonly Target[]) {
  const client = new HttpLogClient(log.address);
  const sha256 = createHash('sha256').update(token).digest('hex');
  const records = [
    put('zone', 'a', {region: 'r', state: 'in'}),
    put('organisation', 'o', {keys: [{id: 'k', sha256, tier: 0}], weight: 1}),
  ];
  for (const target of targets) {
    const {service} = target;
    const address = `http://${await target.listen()}`;
    records.push(
      put('service', service, {
        type: 'plain',
        version: 'v1',
        defaultTimeoutMs: 30_000,
        firstTokenTargetMs: 500,
        tokenTargetMs: 50,
      }),
      put('target', `t-${service}`, {
        service,
        zone: 'a',
        address,
        version: 'v1',
        maxConcurrency: 64,
      }),
    );
  }
  for (const record of records) await client.append('config', record);
  await client.close();
}
