import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {
  probeResults,
  TcpTargetProbe,
} from '../../src/connection/gateway/target-probe.js';

// Guards against a target that counts as crashed, and requests that are refused or cut because of it, when the host itself
// did not run while the probe was answered.
test('a probe that is answered when the host runs again finds the target accepting', async t => {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => server.close());
  const {port} = server.address() as AddressInfo;
  const {setTimeout} = globalThis;
  t.after(() => (globalThis.setTimeout = setTimeout));
  globalThis.setTimeout = ((run: () => void, ms?: number) =>
    setTimeout(run, ms === 600 ? 0 : ms)) as typeof setTimeout;
  // After this, timers run before sockets are read.
  await new Promise(setImmediate);
  const result = new TcpTargetProbe().probe(`127.0.0.1:${port}`);
  // The connection is opened in the next tick; the process stands still until the time of the probe has passed.
  await new Promise<void>(resolve => process.nextTick(resolve));
  const endMs = performance.now() + 5;
  while (performance.now() < endMs);
  assert.equal(await result, probeResults.accepted);
});
