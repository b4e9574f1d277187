import {test} from 'node:test';
import {
  bytes,
  chunks,
  endlessBytes,
  head,
  inOrder,
  maxBodyBytes,
} from './bodies.js';
import {Crowd} from './crowd.js';
import {callerHeaders, EntryFixture, paths} from './entry.js';

const hangGuard = {timeout: 60_000};
const count = 80;

// Guards against an entry host whose memory grows with the bodies that callers have begun.
for (const [what, source] of [
  [
    'bodies with a length stop one byte short',
    () =>
      inOrder(
        [head(paths.plain, callerHeaders(), maxBodyBytes)],
        bytes(maxBodyBytes - 1),
      ),
  ],
  [
    'bodies in chunks of 64 KiB stop short of their end',
    () =>
      inOrder(
        [head(paths.plain, callerHeaders())],
        chunks(maxBodyBytes, 64 * 1024),
      ),
  ],
  [
    'chunked bodies are far over the limit',
    () =>
      inOrder(
        [head(paths.plain, callerHeaders())],
        chunks(endlessBytes, 64 * 1024),
      ),
  ],
] as const) {
  test(
    `an entry host stays within 300 MB while many ${what}`,
    hangGuard,
    async t => {
      const entry = await EntryFixture.start(t);
      const crowd = new Crowd({
        address: entry.callers,
        count,
        source,
        paced: true,
      });
      await entry.settle(crowd);
      await entry.checkBeside();
      await entry.checkAfter(crowd);
    },
  );
}

// Guards against an entry host that keeps the answers for connections that read none of them.
test(
  'an entry host stays within 300 MB while connections send many requests ahead and read no answer',
  hangGuard,
  async t => {
    const entry = await EntryFixture.start(t);
    const request = head(paths.large, callerHeaders(), 0);
    const crowd = new Crowd({
      address: entry.callers,
      count: 40,
      reads: false,
      source: () => [Buffer.concat(Array<Buffer>(200).fill(request))],
    });
    await entry.settle(crowd);
    await entry.checkBeside();
    await entry.checkAfter(crowd);
  },
);
