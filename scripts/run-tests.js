// Runs all compiled tests except those that KNOWN-RED.txt lists, and prints the names of the listed
// ones. Arguments select the files whose paths contain one of them.
import {spawnSync} from 'node:child_process';
import {existsSync, readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';

/** Lists the files below a folder, recursively. */
function listFiles(folder) {
  return readdirSync(folder, {withFileTypes: true}).flatMap(entry =>
    entry.isDirectory()
      ? listFiles(join(folder, entry.name))
      : [join(folder, entry.name)],
  );
}

/** Timeout of a test, in milliseconds; a test that hangs fails instead of blocking the run. */
const timeoutMs = 120_000;

const filters = process.argv.slice(2);
const files = listFiles('dist/test')
  .filter(file => file.endsWith('.test.js'))
  .filter(
    file => filters.length === 0 || filters.some(text => file.includes(text)),
  )
  .sort();
const knownFailures = existsSync('KNOWN-RED.txt')
  ? readFileSync('KNOWN-RED.txt', 'utf8')
      .split('\n')
      .filter(line => line.startsWith('test: '))
      .map(line => line.slice('test: '.length).trim())
  : [];
for (const name of knownFailures) console.log(`known red, skipped: ${name}`);
const escape = name => name.replace(/[.*+?^${}()|[\]\\/]/g, '\\$&');
// Node 20 can only select tests by name, so the listed ones are excluded by a negative look-ahead. A
// test also runs if its parent matches, so the pattern must not match the root, named <root>, either.
const excluded = ['<root>', ...knownFailures.map(escape)].join('|');
const pattern = knownFailures.length
  ? [`--test-name-pattern=/^(?!(?:${excluded})$)/`]
  : [];
/** Runs test files and returns the exit code; 0 if there are none. */
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

// Serial tests use leases on an accelerated clock; they would expire if other tests took the processor.
const serial = files.filter(file => file.endsWith('.serial.test.js'));
const parallel = files.filter(file => !serial.includes(file));
const failed = [run(parallel, 4), run(serial, 1)].some(code => code !== 0);
process.exit(failed ? 1 : 0);
