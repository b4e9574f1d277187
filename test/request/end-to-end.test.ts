import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {test} from 'node:test';
import {request} from 'undici';
import {createHost} from '../../src/index.js';
import {HttpLogClient} from '../../src/connection/platform/http-log-client.js';
import {checkSettings} from '../../src/process/settings.js';
import {EngineServer, LogServer} from '../../stand-ins/index.js';
import {authorization, put, startHosts, token} from './fixtures.js';

test('a streamed completion is relayed from the engine to the caller in full', async t => {
  const log = new LogServer();
  const engine = new EngineServer();
  await Promise.all([log.listen(), engine.listen()]);
  const client = new HttpLogClient(log.address);
  const sha256 = createHash('sha256').update(token).digest('hex');
  const records = [
    put('zone', 'a', {region: 'r', state: 'in'}),
    put('organisation', 'o', {keys: [{id: 'k', sha256, tier: 0}], weight: 1}),
    put('service', 'chat', {
      type: 'model',
      version: 'v1',
      defaultTimeoutMs: 5000,
      firstTokenTargetMs: 500,
      tokenTargetMs: 50,
    }),
    put('target', 't1', {
      service: 'chat',
      zone: 'a',
      address: engine.address,
      version: 'v1',
      maxConcurrency: 4,
    }),
  ];
  for (const record of records) await client.append('config', record);
  const host = createHost(
    checkSettings({
      host: 'h1',
      fleet: 'test',
      zone: 'a',
      region: 'r',
      callers: {address: '127.0.0.1', port: 0},
      peers: {address: '127.0.0.1', port: 0, tls: {mode: 'plain'}},
      platform: {logUrl: log.address},
      logLevel: 'silent',
    }),
  );
  const {callersPort} = await host.start();
  t.after(async () => {
    await host.stop();
    await client.close();
    await Promise.all([log.close(), engine.close()]);
  });
  const origin = `http://127.0.0.1:${callersPort}`;
  let ready = 503;
  while (ready !== 200) {
    const probe = await request(`${origin}/readyz`);
    await probe.body.dump();
    ready = probe.statusCode;
  }

  const res = await request(`${origin}/v1/chat/completions`, {
    method: 'POST',
    headers: {authorization: `Bearer ${token}`},
    body: JSON.stringify({model: 'chat', stream: true, max_tokens: 3}),
  });
  const text = await res.body.text();

  assert.equal(res.statusCode, 200);
  assert.equal(text.match(/word\d/g)?.join(' '), 'word0 word1 word2');
  assert.ok(text.endsWith('data: [DONE]\n\n'));
  assert.equal(engine.executions.length, 1);
});

test('a stream whose connections break repeatedly reaches the caller complete and is executed once', async t => {
  const engine = new EngineServer();
  await engine.listen();
  const fleet = await startHosts({
    targets: [{service: 'chat', address: engine.address}],
  });
  t.after(async () => {
    await fleet.stop();
    await engine.close();
  });
  const res = await request(`${fleet.hosts[0].origin}/v1/chat/completions`, {
    method: 'POST',
    headers: {authorization},
    body: JSON.stringify({model: 'chat', stream: true, max_tokens: 60}),
  });
  const hash = createHash('sha256');
  let chunks = 0;
  for await (const chunk of res.body as AsyncIterable<Buffer>) {
    hash.update(chunk);
    chunks++;
    if (chunks === 3 || chunks === 8) engine.breakStreams();
  }
  assert.ok(chunks >= 8);
  assert.equal(engine.executions.length, 1);
  assert.equal(hash.digest('hex'), engine.executions[0].answerSha256);
  const metrics = await fleet.hosts[0].host.metrics.render();
  assert.match(metrics, /guavaseam_retries_total{reason="resumed"} 2/);
});
