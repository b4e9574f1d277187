import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  cutBeside,
  findLost,
  isDisrupted,
  type PlannedWork,
  type SeenRequest,
} from '../../bench/processes/lost-rule.js';

const bounds = {
  graceMs: 6000,
  configApplyMs: 2000,
  lossSlackMs: 200,
  contactMs: 3000,
};
const noWork = {sigtermMs: [], sighupMs: [], configurations: []};
const work = (some: Partial<PlannedWork>) => ({...noWork, ...some});
const sigterm = work({sigtermMs: [10_000]});
const sighup = work({sighupMs: [10_000]});
// Counts from 10,000 until 10,100 + 2000 + 1000.
const configuration = work({configurations: [{fromMs: 10_000, toMs: 10_100}]});

/** A request that a target ran from its sending until its connection was cut. */
function cut(
  sentMs: number,
  endedMs: number,
  change: Partial<SeenRequest> = {},
): SeenRequest {
  return {
    ...{sentMs, endedMs, timeoutMs: 60_000},
    ...{isConnected: true, isAnswered: false, isOnKeptConnection: true},
    ...{isPassedOn: true, hasBegun: false, isBrokenOff: false},
    runs: [{fromMs: sentMs, toMs: endedMs}],
    ...{unplanned: [], interruptions: []},
    ...change,
  };
}

// Guards against a check that excuses whatever happens after SIGTERM.
test('a request that a stopping host passes on and cuts is lost', () => {
  assert.equal(cutBeside(cut(10_500, 10_504), sigterm, bounds), 'sigtermMs');
  const answered = cut(10_500, 10_504, {isAnswered: true});
  assert.equal(cutBeside(answered, sigterm, bounds), undefined);
  assert.equal(cutBeside(cut(10_500, 10_504), noWork, bounds), undefined);
});

// Guards against a wrong end of the time in which SIGTERM counts.
test('SIGTERM counts until a second after the grace period', () => {
  const beside = (sentMs: number, endedMs: number) =>
    cutBeside(cut(sentMs, endedMs), sigterm, bounds);
  assert.equal(beside(9000, 9999), undefined);
  assert.equal(beside(9000, 10_000), 'sigtermMs');
  assert.equal(beside(17_000, 17_100), 'sigtermMs');
  assert.equal(beside(17_001, 17_100), undefined);
});

// Guards against a wrong end of the time in which SIGHUP counts.
test('SIGHUP counts for requests sent until a configuration applies', () => {
  const beside = (sentMs: number, endedMs: number) =>
    cutBeside(cut(sentMs, endedMs), sighup, bounds);
  assert.equal(beside(1000, 9999), undefined);
  assert.equal(beside(1000, 10_000), 'sighupMs');
  assert.equal(beside(12_000, 30_000), 'sighupMs');
  assert.equal(beside(12_001, 30_000), undefined);
});

// Guards against a wrong end of the time in which a configuration counts.
test('a configuration counts until a second after it is in force', () => {
  const beside = (sentMs: number, endedMs: number) =>
    cutBeside(cut(sentMs, endedMs), configuration, bounds);
  assert.equal(beside(9000, 9999), undefined);
  assert.equal(beside(9000, 10_000), 'configurations');
  assert.equal(beside(13_100, 13_200), 'configurations');
  assert.equal(beside(13_101, 13_200), undefined);
});

// Guards against counting what crossed a close, and against missing a request that was held first.
test('a request that was not passed on is lost if it was held', () => {
  const beside = (endedMs: number) =>
    cutBeside(
      cut(10_500, endedMs, {isPassedOn: false, runs: []}),
      sigterm,
      bounds,
    );
  assert.equal(beside(10_700), undefined);
  assert.equal(beside(10_701), 'sigtermMs');
});

// Guards against counting a request that found nobody listening, of which nothing was sent.
test('a request whose connection was refused is not lost', () => {
  const held = {isPassedOn: false, runs: []};
  const beside = (isConnected: boolean) =>
    cutBeside(cut(10_500, 10_830, {...held, isConnected}), sigterm, bounds);
  assert.equal(beside(false), undefined);
  assert.equal(beside(true), 'sigtermMs');
});

// Guards against blaming a host for a target that broke off.
test('a request that its target broke off is not lost', () => {
  const req = cut(10_500, 10_504, {isBrokenOff: true});
  assert.equal(cutBeside(req, sigterm, bounds), undefined);
  assert.deepEqual(findLost([req], sigterm, bounds).onKeptConnections, []);
});

// Guards against counting requests whose time was over, and excusing those with time left.
test('a request is not lost once its time is over', () => {
  const beside = (endedMs: number) =>
    cutBeside(cut(10_500, endedMs, {timeoutMs: 1000}), sigterm, bounds);
  assert.equal(beside(11_499), 'sigtermMs');
  assert.equal(beside(11_500), undefined);
});

// Guards against excusing long requests that end earlier, are sent later or have no run at the end of the grace period.
test('a long request may be cut in the last sixth of the grace period', () => {
  const beside = (sentMs: number, endedMs: number, change = {}) =>
    cutBeside(cut(sentMs, endedMs, change), sigterm, bounds);
  assert.equal(beside(9000, 15_000), undefined);
  assert.equal(beside(9000, 14_999), 'sigtermMs');
  assert.equal(beside(13_000, 15_500), undefined);
  assert.equal(beside(13_001, 15_500), 'sigtermMs');
  const ranUntil = (toMs: number) => ({runs: [{fromMs: 9000, toMs}]});
  assert.equal(beside(9000, 15_500, ranUntil(15_000)), undefined);
  assert.equal(beside(9000, 15_500, ranUntil(14_999)), 'sigtermMs');
  assert.equal(beside(9000, 15_500, ranUntil(Infinity)), undefined);
  const ranFrom = (fromMs: number) => ({runs: [{fromMs, toMs: 16_500}]});
  assert.equal(beside(12_500, 16_500, ranFrom(16_000)), undefined);
  assert.equal(beside(12_500, 16_500, ranFrom(16_001)), 'sigtermMs');
  assert.equal(beside(9000, 15_500, {runs: []}), 'sigtermMs');
});

// Guards against an excuse by the SIGTERM of a process that had already ended.
test('the end of an earlier grace period excuses nothing after the next SIGTERM', () => {
  const twice = work({sigtermMs: [10_000, 14_000]});
  const req = cut(12_500, 15_500);
  assert.equal(cutBeside(req, sigterm, bounds), undefined);
  assert.equal(cutBeside(req, twice, bounds), 'sigtermMs');
});

// Guards against blaming SIGHUP or a configuration for the end of a grace period.
test('the end of the grace period excuses beside other work as well', () => {
  const {sigtermMs} = sigterm;
  const {configurations} = configuration;
  const all = {sigtermMs, sighupMs: [9500], configurations};
  const req = cut(9000, 15_000);
  assert.equal(cutBeside(req, all, bounds), undefined);
  const noSigterm = {...all, sigtermMs: []};
  assert.equal(cutBeside(req, noSigterm, bounds), 'sighupMs');
  const alone = {...noSigterm, sighupMs: []};
  assert.equal(cutBeside(req, alone, bounds), 'configurations');
});

// Guards against excuses by disruptions that are over, or that began after the request.
test('a disruption excuses from contactMs before the request to its end', () => {
  const req = cut(20_000, 21_000);
  const from = (fromMs: number, toMs: number) =>
    isDisrupted(req, [{fromMs, toMs}], bounds.contactMs);
  assert.equal(from(15_000, 16_999), false);
  assert.equal(from(15_000, 17_000), true);
  assert.equal(from(21_000, Infinity), true);
  assert.equal(from(21_001, Infinity), false);
  const unplanned = [{fromMs: 10_400, toMs: 10_400}];
  const disrupted = cut(10_500, 10_504, {unplanned});
  assert.equal(cutBeside(disrupted, sigterm, bounds), undefined);
  const later = [{fromMs: 10_505, toMs: 10_505}];
  const calm = cut(10_500, 10_504, {unplanned: later});
  assert.equal(cutBeside(calm, sigterm, bounds), 'sigtermMs');
});

// Guards against counting a request beside a configuration that had nearly run out of time.
test('beside a configuration a request counts in the first seven tenths of its time', () => {
  const beside = (endedMs: number, some: PlannedWork) =>
    cutBeside(cut(10_500, endedMs, {timeoutMs: 1000}), some, bounds);
  assert.equal(beside(11_199, configuration), 'configurations');
  assert.equal(beside(11_200, configuration), undefined);
  assert.equal(beside(11_200, sighup), 'sighupMs');
  assert.equal(beside(11_200, sigterm), 'sigtermMs');
});

// Guards against blaming a configuration for cuts that are as frequent without it, and against missing those that are not.
test('beside a configuration requests are lost if cut over three times as often', () => {
  const answered = (sentMs: number, count: number) =>
    Array.from({length: count}, () =>
      cut(sentMs, sentMs + 10, {isAnswered: true}),
    );
  const lost = (cutBesideIt: number, cutOtherwise: number, others = 100) => {
    const requests = [
      ...answered(10_500, 100 - cutBesideIt),
      ...Array.from({length: cutBesideIt}, () => cut(10_500, 10_510)),
      ...answered(30_000, others - cutOtherwise),
      ...Array.from({length: cutOtherwise}, () => cut(30_000, 30_010)),
    ];
    return findLost(requests, configuration, bounds).besideWork.length;
  };
  assert.equal(lost(1, 0), 1);
  assert.equal(lost(3, 1), 0);
  assert.equal(lost(4, 1), 4);
  assert.equal(lost(4, 1, 50), 0);
  assert.equal(lost(1, 0, 0), 1);
  assert.equal(lost(0, 0, 0), 0);
});

// Guards against a rate that counts cuts with an excuse, or that applies to SIGTERM and SIGHUP.
test('only cuts without an excuse count for the rate, and only beside a configuration', () => {
  const broken = cut(30_000, 30_010, {isBrokenOff: true});
  const nearlyOver = cut(30_000, 30_800, {timeoutMs: 1000});
  const lost = (some: PlannedWork, others: SeenRequest[]) =>
    findLost([cut(10_500, 10_504), ...others], some, bounds).besideWork.map(
      ({kind}) => kind,
    );
  assert.deepEqual(lost(configuration, [broken]), ['configurations']);
  assert.deepEqual(lost(configuration, [nearlyOver]), ['configurations']);
  const plainCut = cut(30_000, 30_010);
  assert.deepEqual(lost(configuration, [plainCut]), []);
  assert.deepEqual(lost(sigterm, [plainCut]), ['sigtermMs']);
  assert.deepEqual(lost(sighup, [plainCut]), ['sighupMs']);
});

// Guards against a rule for kept connections that counts hosts out of touch, first requests or those not passed on.
test('a cut on a kept connection counts at any time if the host is in touch', () => {
  const count = (change: Partial<SeenRequest>) =>
    findLost([cut(30_000, 30_500, change)], noWork, bounds).onKeptConnections
      .length;
  assert.equal(count({}), 1);
  assert.equal(count({isAnswered: true}), 0);
  assert.equal(count({isOnKeptConnection: false}), 0);
  assert.equal(count({isPassedOn: false}), 0);
  const interrupted = (fromMs: number, toMs: number) =>
    count({interruptions: [{fromMs, toMs}]});
  assert.equal(interrupted(20_000, 26_999), 1);
  assert.equal(interrupted(20_000, 27_000), 0);
  assert.equal(interrupted(30_500, 30_500), 0);
  assert.equal(interrupted(30_501, 30_501), 1);
});

// Guards against counting streams that end with their time, and against excusing those that end sooner or never began.
test('a response that has begun may be cut when the time of its request is over', () => {
  const count = (endedMs: number, hasBegun: boolean) => {
    const req = cut(30_000, endedMs, {hasBegun, timeoutMs: 1000});
    return findLost([req], noWork, bounds).onKeptConnections.length;
  };
  assert.equal(count(31_000, true), 0);
  assert.equal(count(30_999, true), 1);
  assert.equal(count(31_000, false), 1);
});
