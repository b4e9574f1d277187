import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {StateServer} from '../../src/connection/peer/state-server.js';
import {freePort} from '../../stand-ins/free-port.js';

async function start(t: TestContext, ...parts: [() => never, () => never]) {
  const port = await freePort();
  const server = new StateServer({address: '127.0.0.1', port}, ...parts);
  await server.listen();
  t.after(() => server.close());
  return (path: string) => fetch(`http://127.0.0.1:${port}${path}`);
}

// Guards against a host that ends by itself because its metrics or its state cannot be rendered.
test('a failure to render metrics or state gets 500 and does not end the process', async t => {
  const fail = () => {
    throw new Error('cannot be rendered');
  };
  const get = await start(t, fail, fail);
  for (const path of ['/metrics', '/internal/state', '/metrics']) {
    const res = await get(path);
    assert.equal(res.status, 500);
    await res.text();
  }
  assert.equal((await get('/other')).status, 404);
});
