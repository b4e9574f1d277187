import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';

const program = fileURLToPath(
  new URL('small-chunks-program.js', import.meta.url),
);
/** Options of the heap with which hosts run. */
const heapOptions = /--max\S+/g;

// Guards against a host that ends because its heap is full: each chunk was kept as an object of its own, so that bodies
// far below their limits in bytes took some hundred times their size.
for (const [kind, what] of [
  ['stream', 'streams without an event'],
  ['plain', 'plain responses'],
  ['request', 'request bodies'],
]) {
  test(`a host with its limited heap holds ${what} in chunks of one byte`, async () => {
    const options = readFileSync('deploy/system.toml', 'utf8').match(
      heapOptions,
    );
    assert.ok(options);
    const {stdout} = await promisify(execFile)(process.execPath, [
      ...options,
      program,
      kind,
    ]);
    assert.equal(stdout.trim(), '200');
  });
}
