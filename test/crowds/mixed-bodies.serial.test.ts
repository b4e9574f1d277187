import {test} from 'node:test';
import {
  bytes,
  chunks,
  endlessBytes,
  endlessChunks,
  head,
  inOrder,
  maxBodyBytes,
} from './bodies.js';
import {Crowd, type Source} from './crowd.js';
import {callerHeaders, GatewayFixture, paths} from './gateway.js';

const hangGuard = {timeout: 60_000};
const request = (body: Source, length?: number) =>
  inOrder([head(paths.plain, callerHeaders(), length)], body);

// Guards against limits that hold for one kind of body only.
test(
  'a host serves others and stays within its memory beside a mix of bodies that do not end',
  hangGuard,
  async t => {
    const gateway = await GatewayFixture.start(t);
    const kinds = [
      () => request(bytes(maxBodyBytes - 1), maxBodyBytes),
      () => request(chunks(maxBodyBytes, 64 * 1024)),
      () => request(bytes(maxBodyBytes - 1, 20_000), maxBodyBytes),
      () => request(chunks(128 * 1024, 1)),
      () => request(bytes(endlessBytes), 16 * endlessBytes),
      () => request(endlessChunks()),
    ];
    const crowd = new Crowd({
      address: gateway.addresses.callers,
      count: 72,
      source: i => kinds[i % kinds.length](),
    });
    await gateway.settle(crowd);
    await gateway.checkBeside();
    await gateway.checkBeside({path: paths.stream});
    await gateway.checkAfter(crowd);
  },
);
