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
// a connection to it took longer.
test('a request is not sent if its target became unusable while the connection was opened', async t => {
  const target = await startHttpTarget((_req, res) => res.end('ran'));
  t.after(() => target.close());
  const failure = await new Promise<string>((resolve, reject) => {
    const exchange = new Exchange(
      new TargetConnectionPool(target.address, () => {}),
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
        onHead: () => reject(new Error('the target responded')),
        onData: () => {},
        onEnd: () => {},
        onFailure: resolve,
      },
    );
    exchange.start();
  });
  assert.equal(failure, exchangeFailures.notSent);
  assert.deepEqual(target.requests, []);
});
