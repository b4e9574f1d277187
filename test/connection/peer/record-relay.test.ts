import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {request} from 'undici';
import {HttpLogClient} from '../../../src/connection/platform/http-log-client.js';
import {createHost} from '../../../src/index.js';
import {checkSettings} from '../../../src/process/settings.js';
import {LogServer} from '../../../stand-ins/index.js';
import {tlsOf} from './peers.js';

async function startHost(
  t: TestContext,
  name: string,
  logUrl: string,
  seeds: readonly string[],
) {
  const host = createHost(
    checkSettings({
      host: name,
      fleet: 'test',
      zone: 'a',
      region: 'r',
      callers: {address: '127.0.0.1', port: 0},
      peers: {address: '127.0.0.1', port: 0, seeds, tls: tlsOf(name)},
      platform: {logUrl},
      logLevel: 'silent',
    }),
  );
  const ports = await host.start();
  t.after(() => host.stop());
  return {...ports, host};
}

async function waitUntilReady(port: number): Promise<void> {
  for (;;) {
    const res = await request(`http://127.0.0.1:${port}/readyz`);
    await res.body.dump();
    if (res.statusCode === 200) return;
  }
}

test('a host without a path to the log gets the records from another host', async t => {
  const log = new LogServer();
  await log.listen();
  const client = new HttpLogClient(log.address);
  t.after(async () => {
    await client.close();
    await log.close();
  });
  for (let i = 0; i < 3; i++) {
    await client.append('config', {
      writeId: `w${i}`,
      actor: 'test',
      time: '2026-01-01T00:00:00Z',
      op: 'put',
      kind: 'zone',
      name: `z${i}`,
      baseGeneration: 0,
      spec: {region: 'r', state: 'in'},
    });
  }
  const a = await startHost(t, 'h1', log.address, []);
  await waitUntilReady(a.callersPort);
  // Port 9 is the discard service; nothing listens there.
  const b = await startHost(t, 'h2', 'http://127.0.0.1:9', [
    `127.0.0.1:${a.peersPort}`,
  ]);
  await waitUntilReady(b.callersPort);
  const metrics = await b.host.metrics.render();
  assert.match(metrics, /guavaseam_relayed_records_total\{stream="config"\} 3/);
});
