// Runs every compiled test file except those that KNOWN-RED.txt lists, and prints the listed ones.
import {spawnSync} from 'node:child_process';
import {existsSync, readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';

/** Lists the files below a folder. */
function walk(folder) {
  return readdirSync(folder, {withFileTypes: true}).flatMap(entry =>
    entry.isDirectory()
      ? walk(join(folder, entry.name))
      : [join(folder, entry.name)],
  );
}

/** A test that hangs fails instead of holding up the run. */
const timeoutMs = 120_000;

const only = process.argv.slice(2);
const files = walk('dist/test')
  .filter(file => file.endsWith('.test.js'))
  .filter(file => only.length === 0 || only.some(part => file.includes(part)))
  .sort();
const red = existsSync('KNOWN-RED.txt')
  ? readFileSync('KNOWN-RED.txt', 'utf8')
      .split('\n')
      .filter(line => line.startsWith('test: '))
      .map(line => line.slice('test: '.length).trim())
  : [];
for (const name of red) console.log(`known red, passed over: ${name}`);
const escape = name => name.replace(/[.*+?^${}()|[\]\\/]/g, '\\$&');
// Node 20 can only select tests by name, so the listed ones are excluded by a negative look-ahead. A
// test also runs if its parent matches, so the root, whose name is <root>, must not match either.
const excluded = ['<root>', ...red.map(escape)].join('|');
const pattern = red.length
  ? [`--test-name-pattern=/^(?!(?:${excluded})$)/`]
  : [];
/** Runs test files and returns the exit code; no file is a success. */
function run(paths, concurrency) {
  if (paths.length === 0) return 0;
  const args = [
    '--test',
    `--test-concurrency=${concurrency}`,
    `--test-timeout=${timeoutMs}`,
    ...pattern,
    ...paths,
  ];
  return spawnSync(process.execPath, args, {stdio: 'inherit'}).status ?? 1;
}

// Serial tests drive leases on a faster clock and would lose them if other tests took the processor.
const serial = files.filter(file => file.endsWith('.serial.test.js'));
const parallel = files.filter(file => !serial.includes(file));
const failed = [run(parallel, 4), run(serial, 1)].some(code => code !== 0);
process.exit(failed ? 1 : 0);
