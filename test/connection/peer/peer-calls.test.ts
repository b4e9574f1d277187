import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {
  GrpcAttemptStatusSource,
  serveAttemptStatus,
} from '../../../src/connection/peer/attempt-status-calls.js';
import {
  GrpcClaimTransport,
  claimCallTimeoutMs,
  serveClaims,
} from '../../../src/connection/peer/claim-calls.js';
import {PeerCalls} from '../../../src/connection/peer/peer-calls.js';
import {PeerChannels} from '../../../src/connection/peer/peer-channels.js';
import {loadPeerCredentials} from '../../../src/connection/peer/peer-credentials.js';
import {PeerServer} from '../../../src/connection/peer/peer-server.js';
import {
  GrpcPeerSnapshots,
  serveSnapshots,
} from '../../../src/connection/peer/snapshot-calls.js';
import {MemberView, type Member} from '../../../src/process/member-view.js';
import {Subject} from '../../../src/process/subject.js';
import {hashScope, partitionOf} from '../../../src/version/claims/claim-key.js';
import type {
  ClaimEntry,
  LedgerDecision,
  LedgerEntry,
} from '../../../src/version/claims/claim-ledger.js';
import {ClaimSubmitter} from '../../../src/version/claims/claim-submitter.js';
import {ClaimUndecidedError} from '../../../src/version/claims/claim-writer.js';
import type {AttemptStatus} from '../../../src/version/claims/log-claim-gate.js';
import {
  emptyConfig,
  foldRecord,
  listResources,
} from '../../../src/version/config-state.js';
import {decodeSnapshot} from '../../../src/version/snapshots/snapshot-format.js';
import {ManualClock} from '../../../stand-ins/manual-clock.js';
import {tlsOf} from './peers.js';

const partitions = 8;
const scopeHash = hashScope('o s k');
const partition = partitionOf(scopeHash, partitions);
const claim: ClaimEntry = {
  op: 'claim',
  scopeHash,
  requestHash: 'r',
  attempt: 'a1',
  host: 'h1/p',
  time: 1.5,
};

/** Decides as it is told. */
class Writers extends ClaimSubmitter {
  readonly entries: LedgerEntry[] = [];
  decide: () => Promise<LedgerDecision> = async () => ({kind: 'won'});

  override submit(_: number, entry: LedgerEntry): Promise<LedgerDecision> {
    this.entries.push(entry);
    return this.decide();
  }
}

/** Addresses of the hosts that take part in a test. */
class Addresses extends MemberView {
  override readonly changes = new Subject<Member>().stream;
  readonly known = new Map<string, string>();

  constructor(readonly own: string) {
    super();
  }

  override get self(): Member {
    return this.member(this.own);
  }

  override live(): Member[] {
    return [...this.known.keys()].map(id => this.member(id));
  }

  private member(id: string): Member {
    const peerAddress = this.known.get(id) ?? '';
    const rest = {zone: 'a', region: 'r', incarnation: 0, configOffset: 1};
    return {id, peerAddress, state: 'alive', ...rest};
  }
}

type Options = {cert?: string; fleet?: string; served?: string};

/** Starts a host; with `cert` it uses mutual TLS and the certificate of that name. */
async function start(t: TestContext, id: string, options: Options = {}) {
  const {cert, fleet = 'test'} = options;
  const clock = new ManualClock();
  const tls = cert ? tlsOf(cert) : {mode: 'plain' as const};
  const credentials = loadPeerCredentials(tls);
  const channels = new PeerChannels(credentials);
  const server = new PeerServer();
  const members = new Addresses(id);
  const calls = new PeerCalls({
    fleet,
    host: id,
    clock,
    mode: credentials.mode,
    client: host => {
      const address = members.known.get(host);
      return address === undefined ? undefined : channels.get(address);
    },
  });
  calls.serve(server);
  const port = await server.listen(
    {address: '127.0.0.1', port: 0},
    credentials,
  );
  t.after(() => {
    channels.close();
    server.close();
  });
  const writers = new Writers();
  serveClaims(calls, writers, partitions);
  const address = `127.0.0.1:${port}`;
  return {address, calls, clock, members, writers};
}

async function pair(t: TestContext, first?: Options, second?: Options) {
  const a = await start(t, 'h1', first);
  const b = await start(t, 'h2', second);
  for (const {members} of [a, b]) {
    members.known.set('h1', a.address).set('h2', b.address);
  }
  const transport = new GrpcClaimTransport(a.calls);
  return {a, b, transport};
}

test('a claim and a release reach the owner unchanged, and its decisions come back', async t => {
  const {b, transport} = await pair(t, {cert: 'h1'}, {cert: 'h2'});
  const holder = {...claim, attempt: 'a0', host: 'h3/p'};
  const release: LedgerEntry = {
    op: 'release',
    scopeHash,
    attempt: 'a1',
    time: 2,
  };
  const decisions: [LedgerEntry, LedgerDecision][] = [
    [claim, {kind: 'won'}],
    [claim, {kind: 'lost', holder}],
    [claim, {kind: 'lost', holder: undefined}],
    [release, {kind: 'released'}],
  ];
  for (const [entry, decision] of decisions) {
    b.writers.decide = async () => decision;
    assert.deepEqual(await transport.submit('h2', partition, entry), decision);
    assert.deepEqual(b.writers.entries.pop(), entry);
  }
});

test('an undecided claim keeps its statement whether it may stand in the log', async t => {
  const {b, transport} = await pair(t);
  for (const maybeAppended of [true, false]) {
    b.writers.decide = () =>
      Promise.reject(new ClaimUndecidedError(maybeAppended));
    const call = transport.submit('h2', partition, claim);
    await assert.rejects(call, {maybeAppended});
  }
});

test('a mute, failing or unknown owner counts as possibly appended after a bounded time', async t => {
  const {a, b, transport} = await pair(t);
  const asked = new Promise<void>(resolve => {
    b.writers.decide = () => {
      resolve();
      return new Promise(() => {});
    };
  });
  const mute = transport.submit('h2', partition, claim);
  await asked;
  a.clock.advance(claimCallTimeoutMs);
  await assert.rejects(mute, {maybeAppended: true});
  b.writers.decide = () => Promise.reject(new TypeError('a fault'));
  const failing = transport.submit('h2', partition, claim);
  await assert.rejects(failing, {maybeAppended: true});
  const unknown = transport.submit('h9', partition, claim);
  await assert.rejects(unknown, {maybeAppended: true});
});

// Guards against claims that count as undecided because the host did not run for some time: the timeout is due when it runs
// again, and timers run before the reply that arrived meanwhile is read.
test('a reply that arrived before the timeout of its call is returned', async t => {
  const {a, b, transport} = await pair(t);
  b.writers.decide = async () => {
    // The reply is sent after this turn of the event loop, and read in the next one.
    setImmediate(() => a.clock.advance(claimCallTimeoutMs));
    return {kind: 'won'};
  };
  assert.deepEqual(await transport.submit('h2', partition, claim), {
    kind: 'won',
  });
});

const refused: [string, Options, Options, number, ClaimEntry][] = [
  ['another fleet', {fleet: 'x'}, {}, partition, claim],
  [
    'a certificate of the caller for another host',
    {cert: 'h2'},
    {cert: 'h2'},
    partition,
    claim,
  ],
  [
    'a certificate of another CA',
    {cert: 'h1-foreign'},
    {cert: 'h2'},
    partition,
    claim,
  ],
  ['another number of partitions', {}, {}, partition + 1, claim],
  [
    'a claim for a process of another host',
    {},
    {},
    partition,
    {...claim, host: 'h3/p'},
  ],
];
for (const [name, first, second, at, entry] of refused) {
  test(`an owner does not write a claim that comes with ${name}`, async t => {
    const {b, transport} = await pair(t, first, second);
    await assert.rejects(
      transport.submit('h2', at, entry),
      ClaimUndecidedError,
    );
    assert.deepEqual(b.writers.entries, []);
  });
}

test('a decision of a host whose certificate names another one is not used', async t => {
  const {transport} = await pair(t, {cert: 'h1'}, {cert: 'h1'});
  await assert.rejects(transport.submit('h2', partition, claim), {
    maybeAppended: true,
  });
});

test('the first answer of an attempt is fetched byte for byte, or its state, or unknown', async t => {
  const {a, b} = await pair(t);
  const source = new GrpcAttemptStatusSource(a.calls);
  const holder = {...claim, host: 'h2/p'};
  let known: AttemptStatus = {kind: 'in-progress'};
  serveAttemptStatus(b.calls, asked => {
    assert.deepEqual(asked, {host: 'h2/p', attempt: 'a1'});
    return known;
  });
  const headers = {'content-type': 'text/plain', 'set-cookie': ['a', 'b']};
  const body = Buffer.from([0, 255, 10, 13]);
  const states: AttemptStatus[] = [
    known,
    {kind: 'not-started'},
    {kind: 'unknown'},
    {kind: 'answered', answer: {status: 201, headers, body}},
  ];
  for (known of states) assert.deepEqual(await source.getStatus(holder), known);
  const gone = await source.getStatus({...claim, host: 'h9/p'});
  assert.deepEqual(gone, {kind: 'unknown'});
});

/** A configuration whose compressed snapshot takes several pages. */
function largeConfig() {
  let state = emptyConfig;
  let seed = 1;
  for (let offset = 0; offset < 1500; offset++) {
    const key = Array.from({length: 64}, () => {
      seed = (seed * 48_271) % 2_147_483_647;
      return (seed % 16).toString(16);
    }).join('');
    const data = {
      writeId: `w${offset}`,
      actor: 'op',
      time: '2026-01-01T00:00:00Z',
      op: 'put' as const,
      kind: 'organisation' as const,
      name: `o${offset}`,
      baseGeneration: 0,
      spec: {keys: [{id: 'k', sha256: key, tier: 0 as const}], weight: 1},
    };
    state = foldRecord(state, data, offset).state;
  }
  return state;
}

test('a host without configuration starts from a complete peer, over several pages', async t => {
  const {a, b} = await pair(t, {cert: 'h1'}, {cert: 'h2'});
  const state = largeConfig();
  let ready = false;
  let served = 0;
  const serving = {
    config: () => {
      served++;
      return state;
    },
    ready: () => ready,
  };
  serveSnapshots(b.calls, serving, 'h2');
  const snapshots = new GrpcPeerSnapshots(a.calls, a.members);
  assert.equal(await snapshots.fetch(), undefined, 'b is not complete');
  ready = true;
  served = 0;
  const parts = (await snapshots.fetch()) ?? [];
  assert.ok(served > 1, 'one page only');
  const loaded = decodeSnapshot(parts);
  assert.equal(loaded.offset, state.offset);
  const names = listResources(state, 'organisation').map(({name}) => name);
  assert.equal(names.length, 1500);
  const found = listResources(loaded, 'organisation').map(({name}) => name);
  assert.deepEqual(found, names);
});
