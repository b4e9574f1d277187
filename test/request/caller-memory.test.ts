import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {test} from 'node:test';
import {checkSettings} from '../../src/process/settings.js';
import {startRawTarget} from '../gateway/gateway-fakes.js';
import {authorization, startHosts} from './fixtures.js';

const mib = 1024 * 1024;
const limits = {maxBodyBytes: mib, memoryBytes: 2 * mib};

// Guards against an entry host whose memory grows with the number of callers that send large bodies.
test('a body that does not fit into the memory for callers is refused as not run', async t => {
  const target = await startRawTarget(() => {});
  const fleet = await startHosts({
    targets: [{service: 'orders', address: `http://${target.address}`}],
    callers: limits,
  });
  t.after(async () => {
    target.close();
    await fleet.stop();
  });
  const [{host, port}] = fleet.hosts;
  const send = (header: string, bytes: number) => {
    const socket = connect(port, '127.0.0.1');
    t.after(() => socket.destroy());
    socket.on('error', () => {});
    socket.write(
      `POST /services/orders/a HTTP/1.1\r\nHost: h\r\nAuthorization: ${authorization}\r\nContent-Length: ${mib}\r\n${header}\r\n`,
    );
    socket.write(Buffer.alloc(bytes));
    return socket;
  };
  const open = send('', mib);
  while (target.requests.length === 0) {
    await new Promise(resolve => setImmediate(resolve));
  }
  for (const [header, execution] of [
    ['', 'not-run'],
    // An earlier request with the same key may have run.
    ['Idempotency-Key: k\r\n', 'unknown'],
  ]) {
    const [bytes] = (await once(send(header, mib - 1), 'data')) as [Buffer];
    const response = bytes.toString();
    assert.match(response, /^HTTP\/1\.1 503 /);
    assert.match(response, /retry-after: 1\r/i);
    assert.match(response, /connection: close\r/i);
    assert.match(response, /"reason":"no-memory"/);
    assert.match(response, new RegExp(`"execution":"${execution}"`));
  }
  open.destroy();
  const held = /^guavaseam_caller_memory_held_bytes 0$/m;
  while (!held.test(await host.metrics.render())) {
    await new Promise(resolve => setImmediate(resolve));
  }
});

// Guards against settings with which not even one of the largest bodies fits.
test('the memory for callers is at least twice the largest body', () => {
  const settings = (callers: object) => ({
    host: 'h',
    fleet: 'f',
    zone: 'a',
    region: 'r',
    callers: {address: '127.0.0.1', port: 0, ...callers},
    peers: {address: '127.0.0.1', port: 0, tls: {mode: 'plain'}},
    platform: {logUrl: 'http://127.0.0.1:1'},
  });
  assert.ok(checkSettings(settings(limits)));
  assert.throws(
    () => checkSettings(settings({...limits, memoryBytes: 2 * mib - 1})),
    /callers\.memoryBytes/,
  );
});
