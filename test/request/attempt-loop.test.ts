import assert from 'node:assert/strict';
import {Readable} from 'node:stream';
import {test} from 'node:test';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {
  TargetClient,
  type TargetAnswer,
} from '../../src/connection/target/target-client.js';
import {FailureError} from '../../src/process/errors/catalogue.js';
import {Logger} from '../../src/process/logger.js';
import {Metrics} from '../../src/process/metrics.js';
import type {Admitted} from '../../src/request/admission.js';
import {AnswerSink, type BreakReason} from '../../src/request/answer-sink.js';
import {AttemptLoop, type Job} from '../../src/request/attempt-loop.js';
import {CrashEvidence} from '../../src/request/crash-evidence.js';
import {Dispatcher, type Grant} from '../../src/request/dispatcher.js';
import {TokenBucketRetryBudget} from '../../src/request/retry-budget.js';
import type {
  AttemptOutcome,
  QueuedRequest,
} from '../../src/request/scheduler/types.js';
import {ManualClock} from '../../stand-ins/manual-clock.js';

const sse = {'content-type': 'text/event-stream'};
const event = (i: number) => `data: {"n":${i}}\n\n`;

/** Behaviour of one call of a client: an answer, or a failure. */
type Step = () => TargetAnswer | FailureError | 'hang';

class FakeClient extends TargetClient {
  readonly calls: string[] = [];
  down = false;
  cancelConfirmed = true;

  constructor(
    private readonly steps: Step[],
    override readonly resumable = true,
  ) {
    super();
  }

  override send(
    req: {attemptId: string},
    signal: AbortSignal,
  ): Promise<TargetAnswer> {
    this.calls.push(`send ${req.attemptId}`);
    return this.next(signal);
  }

  override resume(
    id: string,
    after: number,
    signal: AbortSignal,
  ): Promise<TargetAnswer> {
    this.calls.push(`resume ${id} ${after}`);
    return this.next(signal);
  }

  override async cancel(id: string): Promise<boolean> {
    this.calls.push(`cancel ${id}`);
    return this.cancelConfirmed;
  }

  override async isDown(): Promise<boolean> {
    return this.down;
  }

  override async close(): Promise<void> {}

  private next(signal: AbortSignal): Promise<TargetAnswer> {
    const result = (this.steps.shift() as Step)();
    if (result instanceof FailureError) return Promise.reject(result);
    if (result !== 'hang') return Promise.resolve(result);
    return new Promise((_, reject) => {
      const fail = () => reject(broken());
      if (signal.aborted) fail();
      signal.addEventListener('abort', fail);
    });
  }
}

class FakeSink extends AnswerSink {
  started = false;
  text = '';
  ended = false;
  brokenBy: BreakReason | undefined;

  override head(): void {
    this.started = true;
  }

  override write(chunk: Buffer): undefined {
    this.text += chunk.toString();
  }

  override end(): void {
    this.ended = true;
  }

  override breakOff(reason: BreakReason): void {
    this.brokenBy = reason;
  }
}

class FakeDispatcher extends Dispatcher {
  readonly requests: QueuedRequest[] = [];
  readonly outcomes: AttemptOutcome['result'][] = [];
  readonly released: AttemptOutcome[] = [];
  readonly preempt: AbortController[] = [];
  /** Refuses from this request on. */
  refuseFrom = Infinity;
  waiting = false;
  grantNow: (() => void) | undefined;

  override async acquire(req: QueuedRequest): Promise<Grant> {
    this.requests.push(req);
    if (this.requests.length > this.refuseFrom) {
      throw new FailureError({kind: 'refused', reason: 'no-target'});
    }
    if (this.waiting) {
      await new Promise<void>(resolve => (this.grantNow = resolve));
    }
    const preempt = new AbortController();
    this.preempt.push(preempt);
    return {
      permitId: 'p',
      target: {name: `t${this.requests.length}`} as Grant['target'],
      cachedTokens: 0,
      preempted: preempt.signal,
      progress: () => {},
      release: outcome => {
        this.outcomes.push(outcome.result);
        this.released.push(outcome);
      },
    };
  }
}

function answer(
  status: number,
  headers: Record<string, string>,
  parts: string[],
  breaks = false,
): TargetAnswer {
  async function* generate() {
    for (const part of parts) yield Buffer.from(part);
    if (breaks) throw broken();
  }
  const body = Readable.from(generate());
  body.on('error', () => {});
  return {status, headers: {'transfer-encoding': 'chunked', ...headers}, body};
}

function broken(): FailureError {
  return new FailureError({
    kind: 'target-stream-broken',
    target: 't',
    bytes: 0,
  });
}

function unreachable(): FailureError {
  return new FailureError({
    kind: 'target-unreachable',
    target: 't',
    reason: 'ECONNREFUSED',
  });
}

function setUp(
  steps: Step[],
  options: {idempotent?: boolean; budget?: number; resumable?: boolean} = {},
) {
  const clock = new ManualClock();
  // Backoff timers run as soon as they are set; the deadline stays under the test's control.
  const after = clock.after.bind(clock);
  clock.after = (ms, fn) => {
    if (ms >= 5000) return after(ms, fn);
    let cancelled = false;
    setImmediate(() => cancelled || fn());
    return () => (cancelled = true);
  };
  const client = new FakeClient(steps, options.resumable);
  const dispatcher = new FakeDispatcher();
  const metrics = new Metrics();
  const rng = xoroshiro128plus(7);
  const parts = {
    clock,
    metrics,
    logger: Logger.create('silent'),
    dispatcher,
    client: () => client,
    random: () => uniformFloat64(rng),
    retryBudget: new TokenBucketRetryBudget({
      share: 0.1,
      capacity: options.budget ?? 10,
    }),
    crashEvidence: new CrashEvidence(),
  };
  const sink = new FakeSink();
  const job: Job = {
    admitted: {
      id: 'r',
      idempotent: options.idempotent ?? true,
      service: {spec: {type: 'model'}},
    } as Admitted,
    queued: {} as QueuedRequest,
    method: 'POST',
    headers: {},
    body: Buffer.from('{}'),
    stream: true,
    deadlineAtMs: 10_000,
    fingerprints: ['content:x'],
    sink,
    record: false,
  };
  const caller = new AbortController();
  const run = () => new AttemptLoop(parts, job, caller.signal).run();
  return {run, client, dispatcher, sink, clock, caller, parts, metrics};
}

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
  const t = setUp([unreachable, () => answer(200, sse, [event(0)])]);
  const {whole} = await t.run();
  assert.ok(whole);
  assert.equal(t.sink.text, event(0));
  assert.deepEqual(t.dispatcher.outcomes, ['not-started', 'ok']);
  assert.deepEqual(t.dispatcher.requests[1].avoid, ['t1']);
  assert.equal(t.dispatcher.requests[1].attempt, 1);
  assert.match(await t.metrics.render(), /retries_total.*connect-failed"} 1/);
});

test('a stream broken inside an event resumes without loss, repetition or cut', async () => {
  const t = setUp([
    () => answer(200, sse, [event(0) + event(1).slice(0, 5)], true),
    () => answer(200, sse, [event(1).slice(0, 9)], true),
    () => answer(200, sse, [event(1), event(2)]),
  ]);
  const {whole} = await t.run();
  assert.ok(whole && t.sink.ended);
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
    () => answer(200, sse, [event(0), last.slice(0, 20), last.slice(20)]),
  ]);
  await t.run();
  assert.equal(t.dispatcher.released[0].tokens, 7);
  assert.equal(t.dispatcher.released[0].cachedTokens, 64);
});

test('a cut answer that ends with its connection is not presented as whole', async () => {
  const unframed = (type: string, text: string) => () => {
    const whole = answer(200, {'content-type': type}, [text]);
    delete whole.headers['transfer-encoding'];
    return whole;
  };
  const json = 'application/json';
  const held = setUp(
    [unframed(json, '{"choices":['), unframed(json, '{"choices":[]}')],
    {resumable: false},
  );
  assert.ok((await held.run()).whole);
  assert.equal(held.sink.text, '{"choices":[]}');

  const relayed = setUp([unframed('text/event-stream', event(0))], {
    resumable: false,
  });
  assert.equal((await relayed.run()).whole, false);
  assert.equal(relayed.sink.brokenBy, 'answer-broken');

  const text = event(0) + 'data: [DONE]\n\n';
  const whole = setUp([unframed('text/event-stream', text)]);
  assert.ok((await whole.run()).whole);
});

test('a stream that cannot be resumed after part was relayed ends with a visible error', async () => {
  const t = setUp([() => answer(200, sse, [event(0)], true), unreachable]);
  const {whole} = await t.run();
  assert.equal(whole, false);
  assert.equal(t.sink.ended, false);
  assert.equal(t.sink.brokenBy, 'answer-broken');
  assert.deepEqual(t.dispatcher.outcomes, ['broken']);
});

test('a second attempt starts only after the engine confirmed the end of the first', async () => {
  const steps = () => [broken, unreachable, () => answer(200, sse, [event(0)])];
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
  const t = setUp([broken], {idempotent: false, resumable: false});
  const failure = await refusalOf(t.run());
  assert.ok(failure.kind === 'refused');
  assert.equal(failure.reason, 'outcome-unknown');
  assert.deepEqual(t.client.calls, ['send r']);
});

test('a preempted request is cancelled at the engine and queued again', async () => {
  const t = setUp([() => 'hang', () => answer(200, sse, [event(0)])], {
    budget: 0,
  });
  const run = t.run();
  await tick();
  t.dispatcher.preempt[0].abort();
  assert.ok((await run).whole);
  assert.deepEqual(t.client.calls, ['send r', 'cancel r', 'send r-1']);
  assert.deepEqual(t.dispatcher.outcomes, ['cancelled', 'ok']);
  assert.equal(t.dispatcher.requests[1].attempt, 1);
  assert.deepEqual(t.dispatcher.requests[1].avoid, []);
});

test('a refusal after an attempt that may have run does not say not-run', async () => {
  const t = setUp([broken, unreachable]);
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
  const t = setUp([unreachable, unreachable, unreachable], {budget: 1});
  const failure = await refusalOf(t.run());
  assert.ok(failure.kind === 'refused');
  assert.equal(failure.reason, 'target-failed');
  assert.equal(t.client.calls.length, 2);
});

test('a request that crashes each target is stopped after two crashes', async () => {
  const t = setUp([broken, broken, broken, broken], {resumable: false});
  t.client.down = true;
  const failure = await refusalOf(t.run());
  assert.ok(failure.kind === 'refused');
  assert.equal(failure.reason, 'crashes-targets');
  assert.equal(failure.execution, 'unknown');
  assert.deepEqual(t.client.calls, ['send r', 'send r-1']);
  assert.deepEqual(t.dispatcher.outcomes, ['crashed', 'crashed']);
});
