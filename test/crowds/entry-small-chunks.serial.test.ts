import {test} from 'node:test';
import {chunks, head, inOrder, maxBodyBytes} from './bodies.js';
import {Crowd} from './crowd.js';
import {callerHeaders, EntryFixture, paths} from './entry.js';

// Guards against an entry host that gets to nobody else while it handles the chunks that many connections have sent.
test(
  'an entry host serves others while many connections send chunks of one byte',
  {timeout: 60_000},
  async t => {
    const entry = await EntryFixture.start(t);
    const crowd = new Crowd({
      address: entry.callers,
      count: 80,
      source: () =>
        inOrder(
          [head(paths.plain, callerHeaders())],
          chunks(maxBodyBytes - 1, 1),
        ),
    });
    await crowd.started();
    await entry.checkBeside({deadlineMs: 1000});
    await entry.checkAfter(crowd);
  },
);
