import {test} from 'node:test';
import {bytes, endlessBytes, endlessChunks, head, inOrder} from './bodies.js';
import {Crowd} from './crowd.js';
import {callerHeaders, GatewayFixture, paths} from './gateway.js';

const hangGuard = {timeout: 60_000};
const count = 40;

// Guards against a host that reads a body on without end after it has refused it.
test(
  'a host reads chunked bodies far over the limit only in part and stays within its memory',
  hangGuard,
  async t => {
    const gateway = await GatewayFixture.start(t);
    const crowd = new Crowd({
      address: gateway.addresses.callers,
      count,
      source: () =>
        inOrder([head(paths.plain, callerHeaders())], endlessChunks()),
    });
    await gateway.settle(crowd);
    await gateway.checkBeside();
    await gateway.checkAfter(crowd);
  },
);

// Guards against a host that holds bodies whose length it could refuse by their heads.
test(
  'a host reads bodies announced far over the limit only in part and stays within its memory',
  hangGuard,
  async t => {
    const gateway = await GatewayFixture.start(t);
    const crowd = new Crowd({
      address: gateway.addresses.callers,
      count,
      source: () =>
        inOrder(
          [head(paths.plain, callerHeaders(), 16 * endlessBytes)],
          bytes(endlessBytes),
        ),
    });
    await gateway.settle(crowd);
    await gateway.checkBeside();
    await gateway.checkAfter(crowd);
  },
);

// Guards against an address for other hosts, probes or metrics that reads without end what no request there needs.
for (const [address, path] of [
  ['control', '/internal/state'],
  ['ready', '/api/readiness'],
  ['metrics', '/metrics'],
] as const) {
  test(
    `a host reads endless bodies on its ${address} address only in part`,
    hangGuard,
    async t => {
      const gateway = await GatewayFixture.start(t);
      const crowd = new Crowd({
        address: gateway.addresses[address],
        count: 10,
        source: () => inOrder([head(path, callerHeaders())], endlessChunks()),
      });
      await gateway.settle(crowd);
      await gateway.checkBeside();
      await gateway.checkAfter(crowd);
    },
  );
}
