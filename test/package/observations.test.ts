import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  type CallerRequest,
  Observations,
} from '../../bench/processes/observations.js';

const bounds = {
  graceMs: 6000,
  configApplyMs: 2000,
  lossSlackMs: 200,
  contactMs: 3000,
};
const request: CallerRequest = {
  ...{id: 'r', route: 'plain', host: 'h', sentMs: 20_000, endedMs: 20_010},
  ...{isConnected: true, isAnswered: false, isOnKeptConnection: false},
  ...{
    hasBegun: false,
    deadlineMs: 60_000,
    isExcusedByStore: false,
    details: '',
  },
};

/** The kinds under which one request on target `t` counts as lost. */
function kindsOf(
  arrange: (seen: Observations) => void,
  change: Partial<CallerRequest> = {},
) {
  const seen = new Observations(bounds);
  const req = {...request, ...change};
  arrange(seen);
  seen.addArrival('r', 't');
  seen.addRun('r', req.sentMs).toMs = req.endedMs;
  seen.addRequest(req);
  return seen.findLost().map(({kind}) => kind);
}

const sigterm = (seen: Observations) => seen.addSigterm('h', 19_500);

// Guards against a check that nothing turns red, or that work on another host does.
test('a request counts beside the work on its own host', () => {
  assert.deepEqual(kindsOf(sigterm), ['sigtermMs']);
  assert.deepEqual(
    kindsOf(seen => seen.addSigterm('h2', 19_500)),
    [],
  );
  assert.deepEqual(
    kindsOf(seen => seen.addSighup('h', 19_500)),
    ['sighupMs'],
  );
  const configure = (seen: Observations) => {
    seen.addConfiguration(19_500, new Map()).toMs = 19_510;
  };
  assert.deepEqual(kindsOf(configure), ['configurations']);
  assert.deepEqual(kindsOf(sigterm, {isAnswered: true}), []);
});

// Guards against excuses by disruptions of hosts and targets that the request never met.
test('only disruptions of its own host and targets excuse a request', () => {
  const withSpan =
    (add: (seen: Observations) => {toMs: number}, toMs: number) =>
    (seen: Observations) => {
      sigterm(seen);
      add(seen).toMs = toMs;
    };
  const host = (name: string, toMs = 17_000) =>
    kindsOf(withSpan(seen => seen.addHostDisruption(name, 16_000), toMs));
  const target = (name: string, toMs = 17_000) =>
    kindsOf(withSpan(seen => seen.addTargetDisruption(name, 16_000), toMs));
  assert.deepEqual(host('h'), []);
  assert.deepEqual(host('h', 16_999), ['sigtermMs']);
  assert.deepEqual(host('h2'), ['sigtermMs']);
  assert.deepEqual(target('t'), []);
  assert.deepEqual(target('t', 16_999), ['sigtermMs']);
  assert.deepEqual(target('t2'), ['sigtermMs']);
});

// Guards against a disruption of the store that excuses requests of plain routes.
test('a disruption of the store excuses only the requests that it may', () => {
  const away = (seen: Observations) => {
    sigterm(seen);
    seen.addStoreDisruption(16_000).toMs = 18_000;
  };
  assert.deepEqual(kindsOf(away), ['sigtermMs']);
  assert.deepEqual(kindsOf(away, {isExcusedByStore: true}), []);
  const kept = {isOnKeptConnection: true};
  const store = (seen: Observations) => {
    seen.addStoreDisruption(16_000).toMs = 18_000;
  };
  assert.deepEqual(kindsOf(store, kept), [undefined]);
  assert.deepEqual(kindsOf(store, {...kept, isExcusedByStore: true}), []);
});

// Guards against counting what a target broke off.
test('a request that its target broke off does not count', () => {
  const broken = (seen: Observations) => {
    sigterm(seen);
    seen.addBreak('r');
  };
  assert.deepEqual(kindsOf(broken), []);
});

// Guards against the 12 s for which every request after a SIGTERM was excused on kept connections.
test('SIGTERM and a start take a host out of touch for contactMs only', () => {
  const kept = {isOnKeptConnection: true};
  const on = (add: 'addSigterm' | 'addStart', atMs: number) =>
    kindsOf(seen => seen[add]('h', atMs), kept);
  assert.deepEqual(on('addStart', 17_000), []);
  assert.deepEqual(on('addStart', 16_999), [undefined]);
  assert.deepEqual(on('addSigterm', 17_000), ['sigtermMs']);
  assert.deepEqual(on('addSigterm', 16_999), ['sigtermMs', undefined]);
});

// Guards against timeouts of configurations that are no longer in force, and against missing those that may be.
test('a request has the shortest time of the configurations that may be in force', () => {
  const timeouts = (timeoutMs: number) => new Map([['plain', timeoutMs]]);
  const lost = (nextMs: number, isStoreAway = false) =>
    kindsOf(
      seen => {
        sigterm(seen);
        seen.addConfiguration(0, timeouts(1000)).toMs = 0;
        seen.addConfiguration(nextMs, timeouts(30_000)).toMs = nextMs;
        if (isStoreAway) seen.addStoreDisruption(nextMs).toMs = nextMs;
      },
      {endedMs: 21_000},
    );
  assert.deepEqual(lost(18_000), []);
  assert.deepEqual(lost(17_999), ['sigtermMs']);
  assert.deepEqual(lost(13_000, true), []);
  assert.deepEqual(lost(12_999, true), ['sigtermMs']);
  assert.deepEqual(kindsOf(sigterm, {endedMs: 21_000, deadlineMs: 1000}), []);
});

// Guards against a report that names another SIGTERM than the one before the request.
test('a lost request names the time since the last SIGTERM before it', () => {
  const seen = new Observations(bounds);
  for (const atMs of [5000, 19_000, 20_005]) seen.addSigterm('h', atMs);
  seen.addArrival('r', 't');
  seen.addRequest(request);
  assert.equal(seen.findLost()[0].sinceSigtermMs, 1000);
  assert.equal(seen.countSigterms(), 3);
});
