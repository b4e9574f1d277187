import assert from 'node:assert/strict';
import {PassThrough} from 'node:stream';
import {test} from 'node:test';
import {FailureError} from '../../src/process/errors/catalogue.js';
import {
  response,
  streamBroken,
  event,
  setUp,
  sse,
  targetUnreachable,
} from './attempt-fakes.js';

async function refusalOf(run: Promise<unknown>) {
  const err = await run.then(
    () => undefined,
    e => e as FailureError,
  );
  assert.ok(err instanceof FailureError);
  return err.failure;
}

const tick = () => new Promise(resolve => setImmediate(resolve));

test('a refused connection is retried elsewhere and counted', async () => {
  const t = setUp([targetUnreachable, () => response(200, sse, [event(0)])]);
  const {complete} = await t.run();
  assert.ok(complete);
  assert.equal(t.sink.text, event(0));
  assert.deepEqual(t.dispatcher.outcomes, ['not-started', 'ok']);
  assert.deepEqual(t.dispatcher.requests[1].avoid, ['t1']);
  assert.equal(t.dispatcher.requests[1].attempt, 1);
  assert.match(await t.metrics.render(), /retries_total.*connect-failed"} 1/);
});

test('a stream broken inside an event resumes without loss, repetition or cut', async () => {
  const t = setUp([
    () => response(200, sse, [event(0) + event(1).slice(0, 5)], true),
    () => response(200, sse, [event(1).slice(0, 9)], true),
    () => response(200, sse, [event(1), event(2)]),
  ]);
  const {complete} = await t.run();
  assert.ok(complete && t.sink.ended);
  assert.equal(t.sink.text, event(0) + event(1) + event(2));
  assert.deepEqual(t.client.calls, ['send r', 'resume r 1', 'resume r 1']);
});

test('a stream reports the usage that its engine states, not the number of events', async () => {
  const usage = {
    completion_tokens: 7,
    prompt_tokens_details: {cached_tokens: 64},
  };
  const last = `data: ${JSON.stringify({choices: [], usage})}\n\n`;
  const t = setUp([
    () => response(200, sse, [event(0), last.slice(0, 20), last.slice(20)]),
  ]);
  await t.run();
  assert.equal(t.dispatcher.released[0].tokens, 7);
  assert.equal(t.dispatcher.released[0].cachedTokens, 64);
});

test('a cut answer that ends with its connection is not presented as whole', async () => {
  const unframed = (type: string, text: string) => () => {
    const result = response(200, {'content-type': type}, [text]);
    delete result.headers['transfer-encoding'];
    return result;
  };
  const json = 'application/json';
  const held = setUp(
    [unframed(json, '{"choices":['), unframed(json, '{"choices":[]}')],
    {resumable: false},
  );
  assert.ok((await held.run()).complete);
  assert.equal(held.sink.text, '{"choices":[]}');

  const relayed = setUp([unframed('text/event-stream', event(0))], {
    resumable: false,
  });
  assert.equal((await relayed.run()).complete, false);
  assert.equal(relayed.sink.abortedBy, 'answer-broken');

  const text = event(0) + 'data: [DONE]\n\n';
  const endedByDone = setUp([unframed('text/event-stream', text)]);
  assert.ok((await endedByDone.run()).complete);
});

test('a stream that cannot be resumed after part was relayed ends with a visible error', async () => {
  const t = setUp([
    () => response(200, sse, [event(0)], true),
    targetUnreachable,
  ]);
  const {complete} = await t.run();
  assert.equal(complete, false);
  assert.equal(t.sink.ended, false);
  assert.equal(t.sink.abortedBy, 'answer-broken');
  assert.deepEqual(t.dispatcher.outcomes, ['broken']);
});

test('a second attempt starts only after the engine confirmed the end of the first', async () => {
  const steps = () => [
    streamBroken,
    targetUnreachable,
    () => response(200, sse, [event(0)]),
  ];
  const confirmed = setUp(steps());
  await confirmed.run();
  assert.deepEqual(confirmed.client.calls, [
    'send r',
    'resume r 0',
    'cancel r',
    'send r-1',
  ]);

  const unconfirmed = setUp(steps());
  unconfirmed.client.cancelConfirmed = false;
  const failure = await refusalOf(unconfirmed.run());
  assert.equal(failure.kind === 'refused' && failure.execution, 'unknown');
  assert.ok(!unconfirmed.client.calls.includes('send r-1'));
});

test('a non-idempotent request that may have started is never sent again', async () => {
  const t = setUp([streamBroken], {idempotent: false, resumable: false});
  const failure = await refusalOf(t.run());
  assert.ok(failure.kind === 'refused');
  assert.equal(failure.reason, 'outcome-unknown');
  assert.deepEqual(t.client.calls, ['send r']);
});

test('a preempted request is cancelled at the engine and queued again', async () => {
  const t = setUp([() => 'hang', () => response(200, sse, [event(0)])], {
    budget: 0,
  });
  const run = t.run();
  await tick();
  t.dispatcher.preempt[0].abort();
  assert.ok((await run).complete);
  assert.deepEqual(t.client.calls, ['send r', 'cancel r', 'send r-1']);
  assert.deepEqual(t.dispatcher.outcomes, ['cancelled', 'ok']);
  assert.equal(t.dispatcher.requests[1].attempt, 1);
  assert.deepEqual(t.dispatcher.requests[1].avoid, []);
});

test('the owner learns that a stream is relayed, but not of an answer that is held back', async () => {
  const stream = setUp([() => response(200, sse, [event(0), event(1)])]);
  await stream.run();
  assert.equal(stream.dispatcher.relayed, 1);
  const json = {'content-type': 'application/json'};
  const held = setUp([
    () => response(200, json, ['{"choices":'], true),
    streamBroken,
  ]);
  await held.run().catch(() => {});
  assert.equal(held.dispatcher.relayed, 0);
});

test('a stream that is preempted after part was relayed ends with a visible error and is counted', async () => {
  const body = new PassThrough();
  body.write(event(0));
  const headers = {'transfer-encoding': 'chunked', ...sse};
  const t = setUp([() => ({status: 200, headers, body})]);
  const run = t.run();
  await tick();
  await tick();
  assert.equal(t.dispatcher.relayed, 1);
  t.dispatcher.preempt[0].abort();
  // The client ends the body of an aborted request.
  body.destroy(streamBroken());
  assert.equal((await run).complete, false);
  assert.equal(t.sink.abortedBy, 'preempted');
  assert.ok(t.client.calls.includes('cancel r'));
  assert.match(await t.metrics.render(), /broken_answers_total.*preempted.* 1/);
});

test('a refusal after an attempt that may have run does not say not-run', async () => {
  const t = setUp([streamBroken, targetUnreachable]);
  t.dispatcher.refuseFrom = 1;
  const failure = await refusalOf(t.run());
  assert.ok(failure.kind === 'refused');
  assert.equal(failure.reason, 'retries-exhausted');
  assert.equal(failure.execution, 'unknown');
});

test('a deadline while waiting is refused as not-run and a late grant is returned', async () => {
  const t = setUp([]);
  t.dispatcher.waiting = true;
  const refused = refusalOf(t.run());
  await tick();
  t.clock.advance(10_001);
  const failure = await refused;
  assert.ok(failure.kind === 'refused');
  assert.equal(failure.reason, 'deadline-exceeded-waiting');
  t.dispatcher.grantNow?.();
  await tick();
  assert.deepEqual(t.dispatcher.outcomes, ['cancelled']);
  assert.deepEqual(t.client.calls, []);
});

test('a deadline after dispatch cancels at the engine and is unknown', async () => {
  const t = setUp([() => 'hang']);
  const refused = refusalOf(t.run());
  await tick();
  t.clock.advance(10_001);
  const failure = await refused;
  assert.ok(failure.kind === 'refused');
  assert.equal(failure.reason, 'deadline-exceeded-running');
  assert.deepEqual(t.client.calls, ['send r', 'cancel r']);
});

test('a caller that leaves while its request runs frees the engine and the permit', async () => {
  const t = setUp([() => 'hang']);
  const refused = refusalOf(t.run());
  await tick();
  t.caller.abort();
  assert.equal((await refused).kind, 'caller-left');
  assert.deepEqual(t.client.calls, ['send r', 'cancel r']);
  assert.deepEqual(t.dispatcher.outcomes, ['cancelled']);
});

test('retries stop when the budget is empty', async () => {
  const t = setUp([targetUnreachable, targetUnreachable, targetUnreachable], {
    budget: 1,
  });
  const failure = await refusalOf(t.run());
  assert.ok(failure.kind === 'refused');
  assert.equal(failure.reason, 'target-failed');
  assert.equal(t.client.calls.length, 2);
});

test('a request that crashes each target is stopped after two crashes', async () => {
  const t = setUp([streamBroken, streamBroken, streamBroken, streamBroken], {
    resumable: false,
  });
  t.client.down = true;
  const failure = await refusalOf(t.run());
  assert.ok(failure.kind === 'refused');
  assert.equal(failure.reason, 'crashes-targets');
  assert.equal(failure.execution, 'unknown');
  assert.deepEqual(t.client.calls, ['send r', 'send r-1']);
  assert.deepEqual(t.dispatcher.outcomes, ['crashed', 'crashed']);
});
