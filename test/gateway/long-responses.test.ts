import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {SlotRequest} from '../../src/request/gateway/dispatcher.js';
import {SimulatedLoad} from './simulated-load.js';

const request: SlotRequest = {
  service: 's',
  rank: 1,
  organisationRank: 0,
  costMs: 1500,
  dueAtMs: 0,
  objectiveMs: 500,
  deadlineAtMs: 0,
  untilMs: 0,
  promptTokens: 600,
  outputTokens: 300,
  longOutputTokens: 500,
  regions: [],
  exclude: new Set(),
  trial: false,
};

/** Time until callers give up, in milliseconds. */
const deadlineMs = 12_000;
/** Length from which a response counts as long, in tokens; engines of 10 ms per token do not complete it. */
const longTokens = 1200;

/** Plays requests whose lengths vary by factors, on engines whose speeds vary by factors, for 40 s. */
async function play(seed: number, perSecond: number) {
  // As on the users' deployments: a third each of fast, average and slow engines.
  const tokenTimesMs = [2.2, 2.2, 2.2, 4, 4, 4, 11, 11, 11];
  const load = new SimulatedLoad(seed, tokenTimesMs);
  const {clock, random} = load;
  const normal = () =>
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const long = {sent: 0, completed: 0};
  const all = {sent: 0, completed: 0};
  let nextMs = 0;
  for (let ms = 0; ms < 55_000; ms += 10) {
    while (ms < 40_000 && nextMs <= ms) {
      nextMs += (-Math.log(1 - random()) * 1000) / perSecond;
      const tokens = Math.min(3600, 180 * Math.exp(normal()));
      // Callers estimate the length to a factor of 1.3.
      const estimate = tokens * Math.exp(0.26 * normal());
      const counters = tokens >= longTokens ? [all, long] : [all];
      for (const counter of counters) counter.sent++;
      void load
        .run(
          {
            ...request,
            outputTokens: estimate,
            longOutputTokens: estimate * 1.3,
            dueAtMs: ms + 300,
            untilMs: ms + 450,
            deadlineAtMs: ms + deadlineMs,
          },
          tokens,
        )
        .then(completed => {
          for (const counter of counters)
            counter.completed += Number(completed ?? 0);
        });
    }
    clock.advance(10);
    await Promise.resolve();
  }
  return {
    long: long.completed / long.sent,
    all: all.completed / all.sent,
  };
}

// Guards against long responses that are cut off at their deadline: fast engines were full of short responses, so long ones
// got the slots of slow engines, where they occupied a slot for all of their caller's time and earned nothing.
test('long responses wait for an engine that can complete them while slower ones serve short responses', async () => {
  for (let seed = 1; seed <= 3; seed++) {
    // Three quarters of what these engines can serve.
    const {long, all} = await play(seed, 60);
    // The goal up to 0.8 of the capacity is 0.99 of what is asked for.
    assert.ok(long >= 0.99, `${long} of the long responses, seed ${seed}`);
    assert.ok(all >= 0.99, `${all} of all responses, seed ${seed}`);
  }
});

// Guards against requests that are held although no engine is faster than the free one.
test('a response that no engine can complete takes a free slot at once', async () => {
  const load = new SimulatedLoad(1, [11, 11]);
  let assigned = false;
  load.dispatcher.requestSlot(
    {...request, outputTokens: 9000, longOutputTokens: 9000, untilMs: 400},
    () => (assigned = true),
    () => {},
  );
  assert.ok(assigned);
});
