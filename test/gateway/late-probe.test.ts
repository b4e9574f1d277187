import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  probeResults,
  TcpTargetProbe,
} from '../../src/connection/gateway/target-probe.js';
import {freePort} from '../../stand-ins/free-port.js';
import {holdTimers} from '../connection/late-timeout.js';

// Guards against a target that counts as silent because the host itself did not run: the timeout of the probe is due when it
// runs again, before the result that is there is read.
test('the result of a probe that is there when the host runs again is used', async t => {
  const expire = holdTimers(t, 600);
  const result = new TcpTargetProbe().probe(`127.0.0.1:${await freePort()}`);
  // The connection is requested in the next tick.
  await new Promise<void>(resolve => process.nextTick(resolve));
  expire();
  assert.equal(await result, probeResults.refused);
});
