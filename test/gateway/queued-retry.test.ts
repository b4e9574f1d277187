import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PlatformWireFormat} from '../../platform/wire-format.js';
import {feeds} from '../../src/connection/store/shared-store.js';
import type {
  CallerHead,
  TargetHead,
} from '../../src/request/gateway/wire-format.js';
import {sendRequest, startHttpTarget, targetChange} from './gateway-fakes.js';
import {advanceClock, startWithTargets} from './started-gateway.js';

/** Builds headers that cannot be sent to one target, so that attempts there fail before they begin. */
class RejectedWireFormat extends PlatformWireFormat {
  override targetHeaders(caller: CallerHead, added: TargetHead): string[] {
    const headers = super.targetHeaders(caller, added);
    return added.targetId === 'i-0' ? [...headers, 'X-Bad', 'a\nb'] : headers;
  }
}

// Guards against requests that are sent to a target after their caller has left: an attempt that failed while its slot was
// being assigned left the request in the queue, and the request kept the ticket of the failed attempt.
test('a request that waits after a failed attempt leaves the queue with its caller', async t => {
  const first = await startHttpTarget((_req, res) => res.end());
  const second = await startHttpTarget((_req, res) => res.end('late'));
  t.after(() => second.close());
  const {clock, store, settings, port} = await startWithTargets(
    t,
    [first],
    {},
    {wire: new RejectedWireFormat()},
  );
  const metric = async (line: string) => {
    const {body} = await sendRequest(settings.peers?.port ?? 0, '/metrics', {
      method: 'GET',
    });
    return body.split('\n').includes(line);
  };
  const leaving = new AbortController();
  const response = sendRequest(port, '/safe/a', {signal: leaving.signal});
  while (!(await metric('guavaseam_gateway_waiting_requests 1')));
  leaving.abort();
  await assert.rejects(response);
  while (!(await metric('guavaseam_gateway_callers_left_total 1')));
  store.put(feeds.targets, targetChange('i-1', second.address));
  await advanceClock(clock, 2000);
  assert.deepEqual(second.requests, []);
  assert.ok(await metric('guavaseam_gateway_waiting_requests 0'));
});

// Guards against a fix that loses requests whose first attempt fails at once.
test('a request that waits after a failed attempt is sent to the next target', async t => {
  const first = await startHttpTarget((_req, res) => res.end());
  const second = await startHttpTarget((_req, res) => res.end('answer'));
  t.after(() => second.close());
  const {clock, store, port} = await startWithTargets(
    t,
    [first],
    {},
    {wire: new RejectedWireFormat()},
  );
  const response = sendRequest(port, '/safe/a');
  store.put(feeds.targets, targetChange('i-1', second.address));
  await advanceClock(clock, 2000);
  assert.equal((await response).body, 'answer');
  assert.equal(first.requests.length, 0);
});
