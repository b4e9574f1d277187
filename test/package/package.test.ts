import assert from 'node:assert/strict';
import {execFile, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdir, mkdtemp, rm, symlink, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {createInterface} from 'node:readline';
import {test, type TestContext} from 'node:test';
import {promisify} from 'node:util';
import {LogServer} from '../../stand-ins/index.js';

const run = promisify(execFile);

/** Unpacks the tarball as an installed package beside the dependencies of this folder. */
async function unpack(t: TestContext): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'guavaseam-pack-'));
  t.after(() => rm(folder, {recursive: true, force: true}));
  const {stdout} = await run('npm', [
    'pack',
    '--ignore-scripts',
    '--silent',
    '--pack-destination',
    folder,
  ]);
  const root = join(folder, 'package');
  await mkdir(root);
  await run('tar', ['-xzf', join(folder, stdout.trim()), '-C', folder]);
  await symlink(resolve('node_modules'), join(root, 'node_modules'));
  return root;
}

test('the packed package holds everything that its program and the library example need', async t => {
  const root = await unpack(t);
  const help = await run(process.execPath, ['dist/src/main.js', '--help'], {
    cwd: root,
  });
  assert.match(help.stdout, /guavaseam/);

  const log = new LogServer();
  await log.listen();
  t.after(() => log.close());
  const child = spawn(
    process.execPath,
    ['examples/library/main.js', log.address],
    {cwd: root, stdio: ['ignore', 'pipe', 'inherit']},
  );
  t.after(() => child.kill('SIGKILL'));
  const exited = once(child, 'exit');
  const [line] = (await once(createInterface(child.stdout), 'line')) as [
    string,
  ];
  const port = /:(\d+)$/.exec(line)?.[1];
  const res = await fetch(`http://127.0.0.1:${port}/healthz`);
  assert.equal(res.status, 200);
  await res.text();
  child.kill('SIGTERM');
  assert.deepEqual(await exited, [0, null]);

  // A consumer in TypeScript sees the types of all exports.
  await writeFile(
    join(root, 'consumer.ts'),
    "import {createHost, type Settings} from 'guavaseam';\n" +
      "import {LogStore} from 'guavaseam/stand-ins';\n" +
      'export const make = (settings: Settings) => createHost(settings).start();\n' +
      'export const store: LogStore = new LogStore();\n',
  );
  await run(process.execPath, [
    resolve('node_modules/typescript/bin/tsc'),
    ...['--noEmit', '--strict', '--skipLibCheck', '--types', 'node'],
    ...[
      '--module',
      'NodeNext',
      '--target',
      'ES2022',
      join(root, 'consumer.ts'),
    ],
  ]);
});
