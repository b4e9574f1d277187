import assert from 'node:assert/strict';
import {test} from 'node:test';
import {freePort} from '../../stand-ins/free-port.js';

// Guards against two servers that get the same port before one of them listens: the other one waits for it, in a test on a clock
// that nobody advances.
test('no free port is found twice', async () => {
  const ports: number[] = [];
  while (ports.length < 300) ports.push(await freePort());
  assert.equal(new Set(ports).size, ports.length);
});
