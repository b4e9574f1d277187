import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ByteBuffer} from '../../src/process/byte-buffer.js';

// Guards against lost, repeated or overwritten bytes, also in what was taken before.
test('chunks are taken as they were appended, whatever their sizes', () => {
  fc.assert(
    fc.property(
      fc.array(
        fc.tuple(fc.nat(3000), fc.nat(255), fc.constantFrom('', 'take')),
      ),
      rows => {
        const buffer = new ByteBuffer();
        const taken: Buffer[] = [];
        for (const [size, value, action] of rows) {
          const before = buffer.length;
          buffer.append(Buffer.alloc(size, value));
          assert.equal(buffer.length, before + size);
          if (action === 'take') taken.push(buffer.take());
        }
        taken.push(buffer.take());
        const expected = rows.map(([size, value]) => Buffer.alloc(size, value));
        assert.ok(Buffer.concat(taken).equals(Buffer.concat(expected)));
        assert.equal(buffer.length, 0);
      },
    ),
    {seed: 20261205},
  );
});
