import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PlatformWireFormat} from '../../platform/wire-format.js';
import {
  Exchange,
  exchangeFailures,
} from '../../src/connection/gateway/exchange.js';
import {TargetConnectionPool} from '../../src/connection/gateway/target-connections.js';
import {startHttpTarget} from './gateway-fakes.js';

// Guards against a request that reaches a target after it was known to leave: the target was chosen before, and opening
// a connection to it took longer. Guards against two failures of one exchange, by which a request was sent twice.
test('a request is not sent if its target became unusable while the connection was opened', async t => {
  const target = await startHttpTarget((_req, res) => res.end('ran'));
  t.after(() => target.close());
  const connections = new TargetConnectionPool(target.address, () => {});
  const failures: string[] = [];
  const exchange = new Exchange(
    connections,
    new PlatformWireFormat(),
    {
      method: 'POST',
      path: '/',
      headers: ['x-request-id', 'r'],
      body: Buffer.from('body'),
      requestId: 'r',
    },
    {
      maySend: () => false,
      onHead: () => assert.fail('the target responded'),
      onData: () => {},
      onEnd: () => {},
      onFailure: failure => failures.push(failure),
    },
  );
  exchange.start();
  while (failures.length === 0) {
    await new Promise(resolve => setImmediate(resolve));
  }
  // A request that was written anyway would reach the target before this one.
  assert.equal((await fetch(`http://${target.address}/`)).status, 200);
  assert.deepEqual(failures, [exchangeFailures.notSent]);
  assert.deepEqual(target.requests, ['undefined']);
  assert.equal(connections.size, 0);
});
