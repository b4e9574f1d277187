import assert from 'node:assert/strict';
import {test} from 'node:test';
import {request} from 'undici';
import {runUntil, settle} from '../../version/settle.js';
import {
  callerKey,
  operatorToken,
  organisation,
  service,
  startApiHost,
  target,
} from './api-host.js';

const zone = {spec: {region: 'r', state: 'in'}};

test('missing and unknown credentials get 401, those of a caller get 403', async t => {
  const {call} = await startApiHost(t);
  await call('PUT', 'organisation/o', {body: {spec: organisation}});
  const status = async (token: string) => {
    const res = await call('GET', 'zone', {token});
    return [res.status, res.body['reason'] ?? 'none'];
  };
  assert.deepEqual(await status(''), [401, 'operator-unauthenticated']);
  assert.deepEqual(await status('x'), [401, 'operator-unauthenticated']);
  assert.deepEqual(await status(callerKey), [403, 'operator-forbidden']);
  assert.deepEqual(await status(operatorToken), [200, 'none']);
});

test('a write completes after it was read back, and records actor, time and base generation', async t => {
  const {call, shared} = await startApiHost(t);
  const created = await call('PUT', 'zone/a', {body: zone});
  assert.equal(created.status, 201);
  assert.equal(created.headers.etag, '"1"');
  const read = await call('GET', 'zone/a');
  assert.equal(read.headers.etag, '"1"');
  assert.equal(read.body['writtenBy'], 'ann');
  const status = read.body['status'] as Record<string, unknown>;
  assert.equal(status['observedGeneration'], 1);
  assert.equal(status['answeredBy'], 'h1');
  const [record] = shared.stream('config').records as Record<string, unknown>[];
  assert.equal(record['actor'], 'ann');
  assert.equal(record['baseGeneration'], 0);
  assert.ok(!Number.isNaN(Date.parse(String(record['time']))));
  const again = await call('PUT', 'zone/a', {body: zone});
  assert.equal(again.body['change'], 'unchanged');
  assert.equal(shared.stream('config').records.length, 1);
  const known = await call('GET', 'zone/a', {
    headers: {'if-none-match': '"1"'},
  });
  assert.equal(known.status, 304);
});

test('concurrent writes: a stale If-Match gets 412 with both generations', async t => {
  const {call} = await startApiHost(t);
  await call('PUT', 'zone/a', {body: zone});
  const out = {spec: {region: 'r', state: 'out'}};
  const headers = {'if-match': '"1"'};
  const both = await Promise.all([
    call('PUT', 'zone/a', {body: out, headers}),
    call('PATCH', 'zone/a', {body: {spec: {region: 'q'}}, headers}),
  ]);
  const [won, lost] = both.sort((a, b) => a.status - b.status);
  assert.equal(won.status, 200);
  assert.equal(lost.status, 412);
  assert.equal(lost.body['reason'], 'resource-conflict');
  assert.deepEqual([lost.body['expected'], lost.body['actual']], [1, 2]);
  const create = {body: zone, headers: {'if-none-match': '*'}};
  assert.equal((await call('PUT', 'zone/a', create)).status, 412);
  const exists = {body: zone, headers: {'if-match': '*'}};
  assert.equal((await call('PUT', 'zone/new', exists)).status, 412);
  const tag = {body: zone, headers: {'if-match': '1'}};
  assert.equal((await call('PUT', 'zone/a', tag)).status, 400);
});

test('two patches of different fields without a precondition are both kept', async t => {
  const {call} = await startApiHost(t);
  await call('PUT', 'zone/a', {body: zone});
  const results = await Promise.all([
    call('PATCH', 'zone/a', {body: {spec: {state: 'out'}}}),
    call('PATCH', 'zone/a', {body: {spec: {region: 'q'}}}),
  ]);
  assert.deepEqual(
    results.map(({status}) => status),
    [200, 200],
  );
  const {body} = await call('GET', 'zone/a');
  assert.deepEqual(body['spec'], {region: 'q', state: 'out'});
});

test('a patch removes a field with null, and the resulting spec is validated', async t => {
  const {call} = await startApiHost(t);
  await call('PUT', 'organisation/o', {
    body: {spec: {...organisation, limits: {concurrency: 3}}},
  });
  const patched = await call('PATCH', 'organisation/o', {
    body: {spec: {limits: null}},
  });
  assert.equal(patched.status, 200);
  assert.deepEqual(
    (await call('GET', 'organisation/o')).body['spec'],
    organisation,
  );
  const broken = await call('PATCH', 'organisation/o', {
    body: {spec: {weight: null}},
  });
  assert.equal(broken.status, 422);
  assert.equal(
    (await call('PATCH', 'organisation/none', {body: {}})).status,
    404,
  );
});

test('invalid specs and dangling references are reported per field', async t => {
  const {call, shared} = await startApiHost(t);
  const wrong = {
    ...target,
    maxConcurrency: 0,
    colour: 'red',
    version: undefined,
  };
  const {status, body, headers} = await call('PUT', 'target/t', {
    body: {spec: wrong},
  });
  assert.equal(status, 422);
  assert.equal(headers['content-type'], 'application/problem+json');
  const paths = (body['errors'] as {path: string}[]).map(({path}) => path);
  assert.deepEqual(paths.sort(), [
    '/spec/colour',
    '/spec/maxConcurrency',
    '/spec/version',
  ]);
  const dangling = await call('PUT', 'target/t', {body: {spec: target}});
  assert.equal(dangling.status, 422);
  const named = (dangling.body['errors'] as {path: string}[]).map(
    ({path}) => path,
  );
  assert.deepEqual(named, ['/spec/service', '/spec/zone']);
  assert.equal(shared.stream('config').records.length, 0);
  await call('PUT', 'zone/a', {body: zone});
  await call('PUT', 'service/s', {body: {spec: service}});
  assert.equal(
    (await call('PUT', 'target/t', {body: {spec: target}})).status,
    201,
  );
  const gone = await call('DELETE', 'service/s');
  assert.match(String((gone.body['warnings'] as string[])[0]), /target t/);
  const {conditions} = (await call('GET', 'target/t')).body['status'] as {
    conditions: {type: string; status: string}[];
  };
  const resolved = conditions.find(({type}) => type === 'ReferencesResolved');
  assert.equal(resolved?.status, 'False');
});

test('a dry run validates the write but appends nothing', async t => {
  const {call, shared} = await startApiHost(t);
  const dry = await call('PUT', 'zone/a?dryRun=true', {body: zone});
  assert.equal(dry.status, 200);
  assert.equal(dry.body['change'], 'created');
  assert.equal(shared.stream('config').records.length, 0);
  assert.equal((await call('GET', 'zone/a')).status, 404);
});

test('unknown kinds and invalid methods, names and bodies are refused with their own status', async t => {
  const {call} = await startApiHost(t);
  assert.equal((await call('GET', 'toString')).status, 404);
  assert.equal((await call('GET', 'zone/a/b')).status, 422);
  assert.equal((await call('PUT', 'zone/%ff', {body: zone})).status, 422);
  assert.equal((await call('PUT', 'zone/__proto__', {body: zone})).status, 422);
  assert.equal((await call('POST', 'zone/a', {body: zone})).status, 405);
  assert.equal((await call('PUT', 'zone/a', {body: [1]})).status, 400);
  assert.equal(
    (await call('PUT', 'zone/a', {body: {name: 'b', ...zone}})).status,
    422,
  );
  const headers = {'content-type': 'text/plain'};
  assert.equal(
    (await call('PUT', 'zone/a', {body: zone, headers})).status,
    415,
  );
  const large = {spec: {region: 'x'.repeat(300_000), state: 'in'}};
  assert.equal((await call('PUT', 'zone/a', {body: large})).status, 413);
});

test('while the log is down, a 503 states whether a write may have taken effect, and the write can be looked up', async t => {
  const {call, log, shared, clock} = await startApiHost(t);
  log.fault = () => {
    log.down = true;
    return 'lost';
  };
  const headers = {'write-id': 'mine'};
  const lost = await runUntil(
    clock,
    call('PUT', 'zone/a', {body: zone, headers}),
    100,
  );
  assert.equal(lost.status, 503);
  assert.equal(lost.body['reason'], 'log-unavailable');
  assert.equal(lost.body['accepted'], 'unknown');
  assert.equal((await call('GET', 'writes/mine')).status, 404);
  shared.wake();
  await settle();
  const refused = await runUntil(
    clock,
    call('PUT', 'zone/b', {body: zone}),
    100,
  );
  assert.equal(refused.status, 503);
  assert.equal(refused.body['accepted'], 'no');
  log.down = false;
  log.fault = () => 'none';
  clock.advance(2000);
  await settle();
  const found = await call('GET', 'writes/mine');
  assert.deepEqual(found.body['outcome'], {kind: 'accepted', generation: 1});
  // Retrying the write with its id and its old precondition reports the first outcome.
  const retried = await call('PUT', 'zone/a', {
    body: zone,
    headers: {...headers, 'if-none-match': '*'},
  });
  assert.equal(retried.status, 200);
  assert.equal(shared.stream('config').records.length, 1);
});

test('a watch resumes from an offset, sends heartbeats, and gets 410 for an offset that is too old', async t => {
  const {call, origin, clock, shared} = await startApiHost(t);
  await call('PUT', 'zone/a', {body: zone});
  await call('PUT', 'organisation/o', {body: {spec: organisation}});
  await call('PUT', 'zone/b', {body: zone});
  const headers = {authorization: `Bearer ${operatorToken}`};
  const res = await request(`${origin}/api/v1/zone?watch=1`, {headers});
  const seen: string[] = [];
  const read = (async () => {
    for await (const chunk of res.body) {
      for (const line of String(chunk).trim().split('\n')) {
        const {type, name, offset} = JSON.parse(line) as Record<
          string,
          unknown
        >;
        seen.push(`${String(type)} ${String(name ?? '')} ${String(offset)}`);
      }
    }
  })();
  await settle();
  await call('DELETE', 'zone/b');
  await settle();
  clock.advance(5000);
  await settle();
  assert.deepEqual(seen, [
    'put b 2',
    'heartbeat  3',
    'delete b 3',
    'heartbeat  4',
  ]);
  res.body.destroy();
  await read.catch(() => {});
  for (let i = 0; i < 5000; i++) shared.put('config', {});
  for (let i = 0; i < 20; i++) await settle();
  const old = await request(`${origin}/api/v1/zone?watch=1`, {headers});
  assert.equal(old.statusCode, 410);
  const problem = (await old.body.json()) as Record<string, number>;
  assert.ok(problem['first'] > 1);
});

test('a large backlog reaches a watch completely, over several resumed streams', async t => {
  const {origin, shared} = await startApiHost(t);
  const keys = Array.from({length: 256}, (_, i) => ({
    ...organisation.keys[0],
    id: `k${i}`,
  }));
  for (let i = 0; i < 60; i++) {
    shared.put('config', {
      writeId: `w${i}`,
      actor: 'op',
      time: 't',
      op: 'put',
      kind: 'organisation',
      name: `o${i}`,
      baseGeneration: 0,
      spec: {keys, weight: 1},
    });
  }
  await settle();
  const headers = {authorization: `Bearer ${operatorToken}`};
  const seen: string[] = [];
  let from = 0;
  let streams = 0;
  while (from < 60 && streams < 60) {
    streams++;
    const url = `${origin}/api/v1/organisation?watch=${from}`;
    const res = await request(url, {headers});
    let rest = '';
    for await (const chunk of res.body) {
      const lines = (rest + String(chunk)).split('\n');
      rest = lines.pop() as string;
      for (const line of lines) {
        const {type, name, next} = JSON.parse(line) as Record<string, unknown>;
        if (type !== 'put') continue;
        seen.push(String(name));
        from = Number(next);
      }
      if (from === 60) break;
    }
  }
  assert.deepEqual(
    seen,
    Array.from({length: 60}, (_, i) => `o${i}`),
  );
  assert.ok(streams > 1);
});

test('a zone without any reachable host is reported as Unknown, not as in effect', async t => {
  const {call} = await startApiHost(t);
  await call('PUT', 'zone/a', {body: zone});
  await call('PUT', 'zone/far', {body: zone});
  const {status} = (await call('GET', 'zone/a')).body as unknown as {
    status: {
      conditions: {type: string; status: string}[];
      zones: {zone: string; inEffect: string}[];
    };
  };
  const zones = status.zones.map(({zone, inEffect}) => `${zone} ${inEffect}`);
  assert.deepEqual(zones, ['a True', 'far Unknown']);
  assert.equal(status.conditions[0].status, 'Unknown');
});
