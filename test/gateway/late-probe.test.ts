import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import {
  probeResults,
  TcpTargetProbe,
} from '../../src/connection/gateway/target-probe.js';
import {freePort} from '../../stand-ins/free-port.js';
import {holdTimers} from '../connection/late-timeout.js';

/** Timeout of a probe, in milliseconds. */
const timeoutMs = 600;

/** Probes a port in a process that does not run until the timeout of the probe is due. */
async function probeLate(t: TestContext, port: number) {
  const expire = holdTimers(t, timeoutMs);
  const result = new TcpTargetProbe().probe(`127.0.0.1:${port}`);
  // The connection is requested in the next tick.
  await new Promise<void>(resolve => process.nextTick(resolve));
  expire();
  return result;
}

// Guards against a target that counts as silent because the host itself did not run: the timeout of the probe is due when it
// runs again, before the result that is there is read.
test('the result of a probe that is there when the host runs again is used', async t => {
  assert.equal(await probeLate(t, await freePort()), probeResults.refused);
});

// Guards against a target that counts as crashed, and requests that are refused or cut because of it, for the same reason.
test('a probe that is answered when the host runs again finds the target accepting', async t => {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => server.close());
  const {port} = server.address() as AddressInfo;
  assert.equal(await probeLate(t, port), probeResults.accepted);
});
