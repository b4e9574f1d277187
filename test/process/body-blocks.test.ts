import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  BlockBody,
  blockBytes,
  BlockPool,
} from '../../src/process/body-blocks.js';

// Guards against lost, repeated or overwritten bytes of a body, also when its blocks held another one before.
test('a body holds what was added, whatever the sizes of the chunks', () => {
  const pool = new BlockPool();
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.nat(3 * blockBytes), fc.nat(255))),
      rows => {
        const body = new BlockBody(pool);
        const chunks = rows.map(([size, value]) => Buffer.alloc(size, value));
        for (const chunk of chunks) body.append(chunk);
        const expected = Buffer.concat(chunks);
        assert.equal(body.length, expected.length);
        assert.ok(body.toBuffer().equals(expected));
        assert.ok(Buffer.concat([...body.views()]).equals(expected));
        let ended = false;
        const copies = [...body.copies(() => (ended = true))];
        assert.ok(ended);
        body.release();
        assert.ok(Buffer.concat(copies).equals(expected));
      },
    ),
    {seed: 20261206},
  );
});

// Guards against memory that grows with the number of bodies although each is released.
test('released blocks are used again', () => {
  const pool = new BlockPool();
  for (let count = 0; count < 100; count += 1) {
    const body = new BlockBody(pool);
    body.append(Buffer.alloc(4 * 1024 * 1024, count));
    body.release();
  }
  assert.ok(pool.allocatedBytes <= 5 * 1024 * 1024);
});

// Guards against bytes of another caller that are sent as the rest of a body whose request has ended.
test('a body that was released is not read any further', () => {
  const body = new BlockBody(new BlockPool());
  body.append(Buffer.alloc(10 * blockBytes));
  const copies = body.copies(() => assert.fail('the body counts as read'));
  assert.ok(!copies.next().done);
  body.release();
  assert.throws(() => copies.next());
});
