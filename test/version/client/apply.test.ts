import assert from 'node:assert/strict';
import {test} from 'node:test';
import {exitCodeOfResults} from '../../../src/commands/apply.js';
import {exitCodes} from '../../../src/commands/shared.js';
import {FailureError} from '../../../src/process/errors/catalogue.js';
import {applyChanges} from '../../../src/version/client/apply.js';
import type {PlannedChange} from '../../../src/version/client/difference.js';
import {
  ResourceClient,
  type ApiResponse,
  type WriteResponse,
  type WriteOptions,
} from '../../../src/version/client/resource-client.js';

const waiting = {nowMs: () => 0, sleep: async () => {}};

function change(name: string): PlannedChange {
  return {change: 'update', kind: 'zone', name, base: 1, spec: {}, fields: []};
}

function problem(
  status: number,
  reason: string,
  accepted?: 'no' | 'unknown',
): ApiResponse<WriteResponse> {
  const texts = {title: 't', detail: reason};
  return {kind: 'problem', problem: {status, reason, accepted, ...texts}};
}

/** Returns scripted responses to writes; after the last one the host is unreachable. */
class ScriptedClient extends ResourceClient {
  readonly writeIds: string[] = [];

  constructor(private readonly answers: ApiResponse<WriteResponse>[]) {
    super('http://127.0.0.1:1', 'token');
  }

  override async write(_target: unknown, {writeId}: WriteOptions) {
    this.writeIds.push(writeId);
    const answer = this.answers.shift();
    if (answer) return answer;
    const failure = {host: 'h', reason: 'closed'};
    throw new FailureError({kind: 'host-unreachable', ...failure});
  }
}

const done: ApiResponse<WriteResponse> = {
  kind: 'ok',
  body: {change: 'updated', generation: 2, offset: 5, warnings: []},
};

async function apply(
  answers: ApiResponse<WriteResponse>[],
  names = ['a', 'b'],
) {
  const client = new ScriptedClient(answers);
  const results = await applyChanges(client, names.map(change), waiting);
  await client.close();
  const kinds = results.map(({result}) => result);
  return {client, kinds, results};
}

test('a write without a known outcome is retried with the same id', async () => {
  const lost = problem(503, 'log-unavailable', 'unknown');
  const {client, kinds} = await apply([lost, done], ['a']);
  assert.deepEqual(kinds, ['applied']);
  assert.equal(client.writeIds.length, 2);
  assert.equal(client.writeIds[0], client.writeIds[1]);
});

test('with an unreachable host the first write is unknown and the others are not applied', async () => {
  const {kinds, results} = await apply([]);
  assert.deepEqual(kinds, ['unknown', 'not-applied']);
  assert.equal(exitCodeOfResults(results), exitCodes.unavailable);
});

test('a write that was certainly not sent is reported as not applied', async () => {
  const refused = problem(503, 'log-unavailable', 'no');
  const {kinds, results} = await apply(Array.from({length: 5}, () => refused));
  assert.deepEqual(kinds, ['not-applied', 'not-applied']);
  assert.equal(exitCodeOfResults(results), exitCodes.unavailable);
});

test('a lost race is a conflict, or a partial apply after the first change', async () => {
  const lost = problem(412, 'resource-conflict');
  assert.equal(
    exitCodeOfResults((await apply([lost])).results),
    exitCodes.conflict,
  );
  assert.equal(
    exitCodeOfResults((await apply([done, lost])).results),
    exitCodes.partial,
  );
});
