import assert from 'node:assert/strict';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {PassThrough} from 'node:stream';
import {test, type TestContext} from 'node:test';
import {Cli} from 'clipanion';
import {ApplyCommand} from '../../src/commands/apply.js';
import {CheckCommand} from '../../src/commands/check.js';
import {DiffCommand} from '../../src/commands/diff.js';
import {GetCommand} from '../../src/commands/get.js';
import {StatusCommand} from '../../src/commands/status.js';
import {
  callerKey,
  operatorToken,
  service,
  startApiHost,
  target,
} from '../connection/caller/api-host.js';

async function setUp(t: TestContext) {
  const host = await startApiHost(t);
  const folder = await mkdtemp(join(tmpdir(), 'guavaseam-'));
  t.after(() => rm(folder, {recursive: true}));
  const files = join(folder, 'resources.json');
  const tokenFile = join(folder, 'token');
  await writeFile(tokenFile, `${operatorToken}\n`);
  const declare = (resources: unknown) =>
    writeFile(files, JSON.stringify(resources));
  const run = async (...args: string[]) => {
    const cli = new Cli({binaryName: 'guavaseam'});
    for (const command of [
      ApplyCommand,
      CheckCommand,
      DiffCommand,
      GetCommand,
      StatusCommand,
    ]) {
      cli.register(command);
    }
    const stdout = new PassThrough();
    const stderr = new PassThrough();
    const code = await cli.run(args, {stdout, stderr});
    const text = (stream: PassThrough) => String(stream.read() ?? '');
    return {code, out: text(stdout), err: text(stderr)};
  };
  const online = ['--host', host.origin, '--token-file', tokenFile];
  return {...host, files, tokenFile, declare, run, online};
}

const all = [
  {kind: 'target', name: 't', spec: target},
  {kind: 'service', name: 's', spec: service},
  {kind: 'zone', name: 'a', spec: {region: 'r', state: 'in'}},
];

test('apply writes in dependency order, and a second apply writes nothing', async t => {
  const {declare, run, online, files, shared} = await setUp(t);
  await declare(all);
  assert.equal((await run('diff', '-f', files, ...online)).code, 3);
  const dryRun = await run('apply', '-f', files, '--dry-run', ...online);
  assert.equal(dryRun.code, 0);
  assert.equal(shared.stream('config').records.length, 0);
  const first = await run('apply', '-f', files, '--wait', ...online);
  assert.equal(first.code, 0, first.out + first.err);
  assert.match(
    first.out,
    /applied zone\/a\napplied service\/s\napplied target\/t\n/,
  );
  assert.match(first.out, /in effect in every zone/);
  const second = await run('apply', '-f', files, ...online);
  assert.equal(second.code, 0);
  assert.equal(second.out, 'no difference\n');
  assert.equal(shared.stream('config').records.length, 3);
  assert.equal((await run('diff', '-f', files, ...online)).code, 0);
  const got = await run('get', 'target', 't', '--output', 'json', ...online);
  assert.deepEqual((JSON.parse(got.out) as {spec: unknown}).spec, target);
});

test('a partly failed apply lists the changes that were not applied', async t => {
  const {declare, run, online, files, call} = await setUp(t);
  await declare([
    ...all,
    {kind: 'target', name: 'u', spec: {...target, service: 'none'}},
    {kind: 'target', name: 'v', spec: target},
  ]);
  const result = await run('apply', '-f', files, '--output', 'json', ...online);
  assert.equal(result.code, 4);
  const {results} = JSON.parse(result.out) as {
    results: {result: string; change: {name: string}; reason?: string}[];
  };
  assert.deepEqual(
    results.map(({result, change}) => `${change.name} ${result}`),
    ['a applied', 's applied', 't applied', 'u not-applied', 'v not-applied'],
  );
  assert.match(results[3].reason ?? '', /"none"/);
  assert.match(results[4].reason ?? '', /not tried/);
  const names = (await call('GET', 'target')).body['items'] as {name: string}[];
  assert.deepEqual(
    names.map(({name}) => name),
    ['t'],
  );
});

test('prune deletes only undeclared resources of declared kinds', async t => {
  const {declare, run, online, files, call} = await setUp(t);
  await declare(all);
  await run('apply', '-f', files, ...online);
  await call('PUT', 'zone/old', {body: {spec: {region: 'r', state: 'in'}}});
  await call('PUT', 'organisation/o', {body: {spec: {keys: [], weight: 1}}});
  const kept = await run('apply', '-f', files, ...online);
  assert.equal(kept.out, 'no difference\n');
  const pruned = await run('apply', '-f', files, '--prune', ...online);
  assert.match(pruned.out, /applied zone\/old/);
  assert.equal((await call('GET', 'zone/old')).status, 404);
  assert.equal((await call('GET', 'organisation/o')).status, 200);
});

test('exit codes distinguish invalid files, refused credentials and unreachable hosts', async t => {
  const {declare, run, online, files, tokenFile, shared, origin} =
    await setUp(t);
  await declare([
    {kind: 'zone', name: 'a', spec: {region: 'r'}},
    {kind: 'zoo', name: 'b', spec: {}},
  ]);
  const checked = await run('check', '-f', files);
  assert.equal(checked.code, 2);
  assert.match(checked.err, /\/0\/spec\/state is required/);
  assert.match(checked.err, /\/1\/kind must be one of/);
  assert.equal((await run('apply', '-f', files, ...online)).code, 2);
  assert.equal(shared.appends, 0);
  await declare(all);
  assert.equal((await run('check', '-f', files)).code, 0);
  assert.equal((await run('check')).code, 2);
  assert.equal((await run('get', 'zone', 'none', ...online)).code, 1);
  await writeFile(tokenFile, callerKey);
  assert.equal((await run('status', ...online)).code, 5);
  assert.equal(
    (await run('status', '--host', origin, '--token-file', 'none')).code,
    2,
  );
  const closed = ['--host', 'http://127.0.0.1:1', '--token-file', tokenFile];
  assert.equal((await run('apply', '-f', files, ...closed)).code, 6);
});
