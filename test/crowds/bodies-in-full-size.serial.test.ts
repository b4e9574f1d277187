import {test} from 'node:test';
import {bytes, chunks, head, inOrder, maxBodyBytes} from './bodies.js';
import {Crowd} from './crowd.js';
import {callerHeaders, GatewayFixture, paths} from './gateway.js';

/** Makes a host that no longer answers fail its own test. */
const hangGuard = {timeout: 60_000};
const count = 60;
const trickleBytes = 20_000;

// Guards against a host whose memory grows with the bodies that callers have begun, as each alone is within its limit.
test(
  'a host stays within its memory while many bodies with a length stop one byte short',
  hangGuard,
  async t => {
    const gateway = await GatewayFixture.start(t);
    const crowd = new Crowd({
      address: gateway.addresses.callers,
      count,
      source: () =>
        inOrder(
          [head(paths.plain, callerHeaders(), maxBodyBytes)],
          bytes(maxBodyBytes - 1),
        ),
    });
    await gateway.settle(crowd);
    await gateway.checkBeside();
    await gateway.checkAfter(crowd);
  },
);

// Guards against the same where no length is announced.
test(
  'a host stays within its memory while many bodies in chunks of 64 KiB stop short of their end',
  hangGuard,
  async t => {
    const gateway = await GatewayFixture.start(t);
    const crowd = new Crowd({
      address: gateway.addresses.callers,
      count,
      source: () =>
        inOrder(
          [head(paths.plain, callerHeaders())],
          chunks(maxBodyBytes, 64 * 1024),
        ),
    });
    await gateway.settle(crowd);
    await gateway.checkBeside();
    await gateway.checkAfter(crowd);
  },
);

// Guards against a host that holds each complete body until its target has answered, however many there are.
test(
  'a host stays within its memory while targets answer many large requests late',
  hangGuard,
  async t => {
    const gateway = await GatewayFixture.start(t);
    const crowd = new Crowd({
      address: gateway.addresses.callers,
      count,
      source: () =>
        inOrder(
          [head(paths.late, callerHeaders(), maxBodyBytes)],
          bytes(maxBodyBytes),
        ),
    });
    await gateway.settle(crowd);
    await gateway.checkBeside();
    gateway.answerLate();
    await gateway.settle(crowd);
    await gateway.checkAfter(crowd);
  },
);

// Guards against a host that limits only bodies that arrive fast.
test(
  'a host stays within its memory while many bodies arrive in small pieces',
  hangGuard,
  async t => {
    const gateway = await GatewayFixture.start(t);
    const crowd = new Crowd({
      address: gateway.addresses.callers,
      count,
      paced: true,
      source: () =>
        inOrder(
          [head(paths.plain, callerHeaders(), maxBodyBytes)],
          bytes(maxBodyBytes - 1, trickleBytes),
        ),
    });
    await gateway.settle(crowd);
    await gateway.checkBeside();
    await gateway.checkAfter(crowd);
  },
);
