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
// Node 20 can only select tests by name, so the listed ones are excluded by a negative look-ahead.
const pattern = red.length
  ? [`--test-name-pattern=/^(?!(?:${red.map(escape).join('|')})$)/`]
  : [];
const {status} = spawnSync(
  process.execPath,
  ['--test', '--test-concurrency=4', ...pattern, ...files],
  {stdio: 'inherit'},
);
process.exit(status ?? 1);
