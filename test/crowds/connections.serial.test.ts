import {test} from 'node:test';
import {Crowd, type Source} from './crowd.js';
import {callerHeaders, GatewayFixture, paths, smallHost} from './gateway.js';
import {head} from './bodies.js';

const hangGuard = {timeout: 60_000};
/** Requests that are sent together. */
const requestsOfPart = 200;

function* manyRequests(path: string, parts: number): Source {
  for (let i = 0; i < parts; i++) {
    const requests = Array.from({length: requestsOfPart}, () =>
      head(path, callerHeaders(), 0),
    );
    yield Buffer.concat(requests);
  }
}

// Guards against a host that keeps requests and answers for a connection that reads none of them.
test(
  'a host stays within its memory while connections send many requests ahead and read no answer',
  hangGuard,
  async t => {
    const gateway = await GatewayFixture.start(t);
    const crowd = new Crowd({
      address: gateway.addresses.callers,
      count: 40,
      reads: false,
      source: () => manyRequests(paths.large, 50),
    });
    await gateway.settle(crowd);
    await gateway.checkBeside();
    await gateway.checkAfter(crowd);
  },
);

// Guards against answers that their targets have completed and that wait in the host because nobody reads them.
test(
  'a host stays within its memory while connections read none of many complete answers',
  hangGuard,
  async t => {
    const gateway = await GatewayFixture.start(t);
    const crowd = new Crowd({
      address: gateway.addresses.callers,
      count: 40,
      reads: false,
      source: () => manyRequests(paths.medium, 1),
    });
    await gateway.settle(crowd);
    await gateway.checkBeside();
    await gateway.checkAfter(crowd);
  },
);

// Guards against connections with many requests ahead that take all turns of others.
test(
  'a host serves others while connections send many requests ahead and read the answers',
  hangGuard,
  async t => {
    const gateway = await GatewayFixture.start(t);
    const crowd = new Crowd({
      address: gateway.addresses.callers,
      count: 40,
      source: () => manyRequests(paths.plain, 1),
    });
    await crowd.started();
    await gateway.checkBeside();
    await gateway.settle(crowd);
    await gateway.checkAfter(crowd);
  },
);

// Guards against a host that keeps heads without end.
test(
  'a host stays within its memory while many heads do not end',
  hangGuard,
  async t => {
    const gateway = await GatewayFixture.start(t);
    const start = 'GET / HTTP/1.1\r\nX-Long: ';
    const crowd = new Crowd({
      address: gateway.addresses.callers,
      count: 80,
      source: () => [Buffer.from(start + 'a'.repeat(60_000))],
    });
    await gateway.settle(crowd);
    await gateway.checkBeside();
    await gateway.checkAfter(crowd);
  },
);

// Guards against a host that accepts connections until it has no descriptor left for its targets and files.
test(
  'a host keeps descriptors free while more connections are opened than it may have',
  hangGuard,
  async t => {
    const gateway = await GatewayFixture.start(t);
    const crowd = new Crowd({
      address: gateway.addresses.callers,
      count: smallHost.maxFds + 100,
      source: () => [],
    });
    await crowd.opened();
    await gateway.settle(crowd);
    await gateway.checkBeside({mayBeClosed: true});
    await gateway.checkAfter(crowd);
  },
);
