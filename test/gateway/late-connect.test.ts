import assert from 'node:assert/strict';
import {test} from 'node:test';
import {startHttpTarget, sendRequest} from './gateway-fakes.js';
import {startWithTargets} from './started-gateway.js';

// Guards against a target that counts as unreachable because the host itself did not run while the connection was opened.
test('a connection that is open when the host runs again is used', async t => {
  const target = await startHttpTarget((_req, res) => res.end('done'));
  const {port} = await startWithTargets(t, [target]);
  const {setTimeout} = globalThis;
  t.after(() => (globalThis.setTimeout = setTimeout));
  // Timers of some hundred milliseconds expire in the next turn of the event loop, as after a standstill of the process.
  globalThis.setTimeout = ((run: () => void, ms?: number) =>
    setTimeout(run, ms === 600 ? 0 : ms)) as typeof setTimeout;
  const {status, body} = await sendRequest(port, '/plain/a');
  assert.equal(status, 200);
  assert.equal(body, 'done');
});
