import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {test} from 'node:test';
import type {SendingOutcome} from '../../bench/fleet/fleet-callers.js';
import type {SeenExecution} from '../../bench/fleet/fleet-messages.js';
import {findGaps, tallyFleet} from '../../bench/fleet/fleet-tally.js';
import {sumControlBytes} from '../../bench/fleet/host-process.js';
import {addQueues, findExcess} from '../../bench/soak/resource-use.js';

const body = '{"number":1}';
const execution = (answerSha256: string, seenMs = 0): SeenExecution => ({
  target: 't',
  zone: 'a',
  service: 's',
  seenMs,
  method: 'POST',
  path: '/dispatch',
  bodySha256: createHash('sha256').update(body).digest('hex'),
  answerSha256,
});
const common = {
  atMs: 0,
  host: 0,
  tier: 0,
  token: '',
  method: 'POST',
  path: '',
  targetPath: '/dispatch',
  resent: false,
  streamed: false,
  timeoutMs: 1,
} as const;
const judge = (outcomes: SendingOutcome[], answers: string[]) => {
  const request = {
    req: {...common, body, key: 'k'},
    sendings: outcomes.map(outcome => ({
      ...{host: 'h', sentMs: 0, endMs: 0, firstByteMs: 0, outcome},
    })),
  };
  const tally = tallyFleet(
    [request],
    answers.map(answer => execution(answer)),
  );
  return [tally.judged[0].verdict, tally.duplicates];
};

test('the fleet bench finds duplicates, untrue refusals and untold losses', () => {
  const answered = {kind: 'answered', status: 200, sha256: 'x'} as const;
  const broken = {kind: 'broken', reason: 'r', connected: true} as const;
  const notRun = {kind: 'refused', reason: 'r', execution: 'not-run'} as const;
  const unknown = {...notRun, execution: 'unknown'};
  assert.deepEqual(judge([answered], ['x']), ['whole', 0]);
  assert.deepEqual(judge([answered], ['y']), ['lost untold', 0]);
  assert.deepEqual(judge([broken, answered], ['x', 'x']), ['whole', 1]);
  assert.deepEqual(judge([{kind: 'silent'}], []), ['lost untold', 0]);
  assert.deepEqual(judge([broken], ['x']), ['lost told', 0]);
  assert.deepEqual(judge([unknown], ['x']), ['lost told', 0]);
  assert.deepEqual(judge([notRun], []), ['refused', 0]);
  assert.deepEqual(judge([notRun], ['x']), ['false not-run', 0]);
});

test('a gap at the start or the end of a time counts', () => {
  const seen = [execution('x', 400), execution('y', 500)];
  assert.deepEqual([...findGaps(seen, 0, 1000)], [['s/a', 500]]);
  assert.deepEqual([...findGaps(seen, 0, 550)], [['s/a', 400]]);
});

test('the soak reports every kind of excess, and metrics are read by name', () => {
  const before = {memoryBytes: 10, active: {Timeout: 1}, queues: {q: 0}};
  const after = {
    memoryBytes: 30,
    active: {Timeout: 2, TCPSocketWrap: 1},
    queues: {q: 3},
  };
  assert.deepEqual(findExcess(before, before, 0), []);
  assert.equal(findExcess(before, after, 5).length, 4);
  const text =
    'guavaseam_caller_requests 4\nguavaseam_config_offset 9\nguavaseam_requests_total{tier="0"} 8\n' +
    'guavaseam_link_sent_bytes_total{kind="a"} 3\nguavaseam_link_received_bytes_total 4\n';
  const sums = {};
  addQueues(sums, text);
  assert.deepEqual(sums, {guavaseam_caller_requests: 4});
  assert.equal(sumControlBytes(text), 7);
  assert.equal(sumControlBytes(''), undefined);
});
