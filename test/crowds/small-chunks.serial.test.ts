import {test} from 'node:test';
import {chunks, head, inOrder, maxBodyBytes} from './bodies.js';
import {Crowd} from './crowd.js';
import {callerHeaders, GatewayFixture, paths} from './gateway.js';

const hangGuard = {timeout: 60_000};
/** Time that an ordinary caller gives its request, in milliseconds. */
const deadlineMs = 1000;

// Guards against a host that gets to nobody else while it handles the chunks that many connections have sent: ordinary
// requests ended at their deadline or got no answer, also after the crowd had left.
test(
  'a host serves others while many connections send chunks of one byte',
  hangGuard,
  async t => {
    const gateway = await GatewayFixture.start(t);
    const crowd = new Crowd({
      address: gateway.addresses.callers,
      count: 80,
      source: () =>
        inOrder(
          [head(paths.plain, callerHeaders())],
          chunks(maxBodyBytes - 1, 1),
        ),
    });
    await crowd.started();
    await gateway.checkBeside({deadlineMs});
    await gateway.checkAfter(crowd);
  },
);
