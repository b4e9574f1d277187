import assert from 'node:assert/strict';
import {test} from 'node:test';
import {bytes, chunks, head, inOrder, maxBodyBytes} from './bodies.js';
import {Crowd, type Source} from './crowd.js';
import {callerHeaders, GatewayFixture, paths} from './gateway.js';

const hangGuard = {timeout: 60_000};
const lastChunk = Buffer.from('0\r\n\r\n');
const smallChunksBytes = 64 * 1024;

/** Sends one request, and returns the status line and whether the target got the body in full. */
async function sendAlone(
  gateway: GatewayFixture,
  body: Source,
  length?: number,
): Promise<string> {
  const crowd = new Crowd({
    address: gateway.addresses.callers,
    count: 1,
    source: () => inOrder([head(paths.plain, callerHeaders(), length)], body),
  });
  const answer = await crowd.members[0].firstLine();
  await crowd.leave();
  return answer;
}

// Guards against a limit on memory or on work that refuses a single request within the limits of the configuration.
for (const [what, body, length] of [
  ['whole', () => bytes(maxBodyBytes), maxBodyBytes],
  [
    'in chunks of 64 KiB',
    () => inOrder(chunks(maxBodyBytes, 64 * 1024), [lastChunk]),
    undefined,
  ],
] as const) {
  test(
    `a request with the largest body allowed, sent ${what}, is served`,
    hangGuard,
    async t => {
      const gateway = await GatewayFixture.start(t);
      const line = await sendAlone(gateway, body(), length);
      assert.equal(line, 'HTTP/1.1 200 OK');
      assert.equal(gateway.lastBodyBytes, maxBodyBytes);
    },
  );
}

// Guards against a limit on the number of chunks that a sound caller reaches.
test(
  'a request whose body is sent in chunks of one byte is served',
  hangGuard,
  async t => {
    const gateway = await GatewayFixture.start(t);
    const body = inOrder(chunks(smallChunksBytes, 1), [lastChunk]);
    const line = await sendAlone(gateway, body);
    assert.equal(line, 'HTTP/1.1 200 OK');
    assert.equal(gateway.lastBodyBytes, smallChunksBytes);
  },
);

// Guards against limits that sound callers meet when many of them send at once.
test(
  'many sound callers with large bodies at once are all served',
  hangGuard,
  async t => {
    const bounds = {memoryMb: 350, maxFds: 400};
    const gateway = await GatewayFixture.start(t, bounds);
    const body = Buffer.alloc(256 * 1024, 'a');
    const answers = await Promise.all(
      Array.from({length: 30}, () => gateway.send({body})),
    );
    const statuses = answers.map(({status}) => status);
    assert.deepEqual(statuses, Array<number>(30).fill(200));
    assert.deepEqual(gateway.host.brokenBounds(bounds), []);
  },
);

// Guards against a body over the limit that is closed without its refusal.
test('a body over the limit gets status 413', hangGuard, async t => {
  const gateway = await GatewayFixture.start(t);
  const size = maxBodyBytes + 1;
  assert.match(await sendAlone(gateway, bytes(size), size), /^HTTP\/1\.1 413 /);
  const inChunks = inOrder(chunks(maxBodyBytes, 64 * 1024), [
    Buffer.from('1\r\na\r\n'),
    lastChunk,
  ]);
  assert.match(await sendAlone(gateway, inChunks), /^HTTP\/1\.1 413 /);
});
