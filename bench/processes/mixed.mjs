// Plays hosts as processes beside disruptions in series and checks rules from what callers and targets see. The processes,
// the store and the targets are the stand-ins of review/lib. A request that ends without an answer counts as lost unless
// lost-rule.ts excuses it.
//
//   node scripts/bundle.js && node bench/processes/mixed.mjs [options] [SEED...]
//
// Exit code 1 if a rule was broken, 2 if a play could not run. ROOT names another checkout whose program and stand-ins
// are played instead.
import console from 'node:console';
import {once} from 'node:events';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as wait} from 'node:timers/promises';
import {maxCutOnKeptConnections} from '../../dist/bench/processes/lost-rule.js';
import {Observations} from '../../dist/bench/processes/observations.js';
import {createRandom} from '../../dist/src/process/random.js';
import {
  bounds,
  describeLost,
  loadStandIns,
  measureStalls,
  play,
  playSeeds,
  readOptions,
  recordTo,
  timeoutsOf,
} from './play.mjs';

const usage = `node bench/processes/mixed.mjs [options] [SEED...]
  --seeds N,N      seeds to play, one after the other (1,2,3)
  --seconds N      length of the traffic (50)
  --logs FOLDER    where the hosts' logs are kept if a play fails (a new folder)`;

const args = readOptions(usage, {
  seeds: {default: '1,2,3'},
  seconds: {default: '50', least: 15, most: 600},
  logs: {},
});
playSeeds(import.meta.url, args);
const seed = args.seeds[0];

const {Channel, Engine, Fleet, shed, ...deployment} = await loadStandIns();
const {configuration, newId, plainHeaders, promptHeaders, routes} = deployment;

const hostCount = 5;
const engineCount = 6;
const plainCount = 3;
const clientsPerHost = 8;
const trafficMs = Number(args.seconds) * 1000;
/** Time at the end without new disruptions, in milliseconds. */
const calmMs = 8000;
const zones = ['pokhara', 'beni', 'jomsom'];
const events = 24;
const eventMs = 30;
/** Bound on the requests to a cold engine in a second: coldPerS x coldOver + coldSlack. */
const coldPerSecond = 13 * 1.5 + 5;
const coldMs = 3000;

const random = createRandom(Number(seed));
const pick = items => items[Math.floor(random() * items.length)];

const maxMs = trafficMs + 60_000;
await play({Fleet, file: import.meta.url, args, maxMs}, async fleet => {
  const broken = new Map();
  const breaks = (rule, details) => {
    broken.set(rule, [...(broken.get(rule) ?? []), details]);
  };
  const runs = new Map();
  const startMs = performance.now();
  const nowMs = () => performance.now() - startMs;
  const log = [];
  const note = text => log.push(`${(nowMs() / 1000).toFixed(2)} ${text}`);
  const seen = new Observations(bounds);
  const stalls = measureStalls();

  const eventOf = (id, number) => `id: ${number}\ndata: ${id}-${number}\n\n`;
  const stream = (request, answer) => {
    const {engine} = answer;
    if (engine.isFailing) {
      return answer.whole('500 Internal Server Error', 'internal error');
    }
    answer.begin('200 OK', 'text/event-stream');
    let number = Number(request.headers['last-event-id'] ?? 0);
    let timer;
    const step = () => {
      number++;
      if (number > events) return answer.end();
      answer.chunk(eventOf(request.id, number));
      const pauseMs = engine.pauseMs;
      engine.pauseMs = 0;
      timer = setTimeout(step, eventMs + (pauseMs ?? 0));
    };
    timer = setTimeout(step, eventMs);
    answer.onStop = () => clearTimeout(timer);
  };
  const plain = (request, answer) => {
    if (answer.engine.isFailing) {
      return answer.whole('500 Internal Server Error', 'internal error');
    }
    const timer = setTimeout(() => answer.whole('200 OK', 'done'), 25);
    answer.onStop = () => clearTimeout(timer);
  };
  const createEngine = (i, service, run) => {
    const id = `i-7f3a91${i.toString(16).padStart(2, '0')}`;
    const record = recordTo(seen, id, nowMs);
    const engine = new Engine({
      id,
      service,
      zone: zones[i % zones.length],
      slots: service === routes.stream.service ? 11 : 6,
      queue: 6,
      record: (kind, details) => {
        record(kind, details);
        const {request} = details;
        if (kind !== 'runs') return;
        runs.set(request, [...(runs.get(request) ?? []), engine.id]);
        const isCold = performance.now() < (engine.coldUntilMs ?? 0);
        if (!isCold || service !== routes.stream.service) return;
        engine.coldRuns = [...(engine.coldRuns ?? []), performance.now()];
        const since = performance.now() - 1000;
        const inSecond = engine.coldRuns.filter(at => at > since).length;
        if (inSecond > coldPerSecond) {
          breaks('FAILBACK', `${engine.id} ${inSecond} in a second`);
        }
      },
      run,
    });
    const beat = engine.beat.bind(engine);
    engine.beat = state => {
      const remainingMs = (engine.coldUntilMs ?? 0) - performance.now();
      if (remainingMs <= 0) return beat(state);
      engine.store.put('keyed.servers', engine.id, {
        ...{service, address: engine.address, zone: engine.zone},
        ...{version: engine.version, slots: engine.slots, state},
        coldRemainingMs: Math.ceil(remainingMs),
        ...{sequence: engine.sequence++, born: engine.born},
      });
    };
    // A late second copy of a refusal.
    engine.onAnswered = (channel, text) => {
      if (engine.isGarbling && text === shed) {
        setTimeout(() => channel.socket.write(shed), 20);
      }
    };
    return engine;
  };
  const engines = [
    ...Array.from({length: engineCount}, (_, i) =>
      createEngine(i, routes.stream.service, stream),
    ),
    ...Array.from({length: plainCount}, (_, i) =>
      createEngine(engineCount + i, routes.safe.service, plain),
    ),
  ];
  await fleet.takePorts(hostCount);
  for (const [i, engine] of engines.entries()) {
    await engine.start(fleet.store, '127.0.0.1', fleet.targetPort(i));
  }
  await fleet.start(hostCount, configuration);
  // The first configuration is in force from the start and changes nothing.
  const first = timeoutsOf(configuration.routes);
  seen.addConfiguration(-Infinity, first).toMs = -Infinity;
  const started = fleet.hosts;
  const addresses = started.map(({front}) => front);
  const expected = new Set();
  const watch = host => {
    host.onEnd = ({code, signal, error}) => {
      if (expected.has(host)) return;
      breaks('FAULT', `${host.name} ended: ${code} ${signal} ${error}`);
      void restart(host);
    };
  };
  for (const host of started) watch(host);
  const restart = async host => {
    if (!host.ended) await once(host.child, 'exit');
    watch(fleet.restart(host));
  };

  let version = configuration.version;
  let isAway = false;
  /** Configurations that the store acknowledges when it is back. */
  let unacknowledged = [];
  const configure = change => {
    const next = {...configuration, version: ++version, ...change};
    const sent = seen.addConfiguration(nowMs(), timeoutsOf(next.routes));
    fleet.store.put('keyed.op', 'config', next);
    if (isAway) unacknowledged.push(sent);
    else sent.toMs = nowMs();
  };
  const disruptions = {
    async kill(host) {
      expected.add(host);
      const span = seen.addHostDisruption(host.front, nowMs());
      host.child.kill('SIGKILL');
      await restart(host);
      span.toMs = nowMs();
      seen.addStart(host.front, nowMs());
    },
    async stop(host) {
      expected.add(host);
      seen.addSigterm(host.front, nowMs());
      const {child} = host;
      child.kill('SIGTERM');
      setTimeout(() => child.kill('SIGKILL'), bounds.graceMs).unref();
      await restart(host);
      seen.addStart(host.front, nowMs());
    },
    async freeze(host) {
      const span = seen.addHostDisruption(host.front, nowMs());
      host.child.kill('SIGSTOP');
      await wait(500 + random() * 1500);
      if (!host.ended) host.child.kill('SIGCONT');
      span.toMs = nowMs();
    },
    async hup(host) {
      seen.addSighup(host.front, nowMs());
      host.child.kill('SIGHUP');
    },
    async crash() {
      const engine = pick(engines);
      if (engine.isDown) return;
      engine.isDown = true;
      const span = seen.addTargetDisruption(engine.id, nowMs());
      for (const {id} of engine.running) seen.addBreak(id);
      const byReset = random() < 0.5;
      for (const socket of [...engine.sockets]) {
        if (byReset) socket.resetAndDestroy();
      }
      engine.close();
      await wait(1000 + random() * 3000);
      engine.coldUntilMs = performance.now() + coldMs;
      engine.coldRuns = [];
      await engine.restart(fleet.store);
      span.toMs = nowMs();
      engine.isDown = false;
    },
    async reset() {
      const engine = pick(engines);
      seen.addTargetDisruption(engine.id, nowMs()).toMs = nowMs();
      for (const {id, channel} of [...engine.running]) {
        if (random() < 0.5) continue;
        seen.addBreak(id);
        channel.socket.resetAndDestroy();
      }
    },
    async pause() {
      for (const engine of engines) engine.pauseMs = 800 + random() * 1000;
    },
    async fail() {
      const engine = pick(engines);
      engine.isFailing = true;
      await wait(2000);
      engine.isFailing = false;
    },
    async garble() {
      const engine = pick(engines);
      engine.isGarbling = true;
      await wait(4000);
      engine.isGarbling = false;
    },
    async storeAway() {
      if (isAway) return;
      isAway = true;
      const span = seen.addStoreDisruption(nowMs());
      fleet.store.away = true;
      await wait(500 + random() * 2000);
      fleet.store.away = false;
      isAway = false;
      span.toMs = nowMs();
      for (const sent of unacknowledged) sent.toMs = nowMs();
      unacknowledged = [];
    },
    async timeouts() {
      const timeoutMs = Math.round(3000 + random() * 9000);
      configure({
        routes: Object.values(routes).map(route =>
          route.kind === 'streaming' ? {...route, timeoutMs} : route,
        ),
      });
    },
    async idle() {
      const idleTimeoutMs = Math.round(4000 + random() * 12_000);
      configure({limits: {...configuration.limits, idleTimeoutMs}});
    },
    async evacuate() {
      const key = `evacuate/${pick(zones)}`;
      fleet.store.put('keyed.op', key, {});
      await wait(3000);
      fleet.store.put('keyed.op', key, undefined);
    },
    async foreignEntry() {
      fleet.store.put('keyed.servers', 'i-foreign', {
        ...{service: routes.stream.service, zone: zones[0], version: 'v1'},
        ...{slots: 11, state: 'ready', coldRemainingMs: 0, sequence: 1},
        ...{address: pick(['127.0.0.1:80800', '...:1', 'x']), born: 1},
      });
    },
  };

  let sent = 0;
  let served = 0;
  const kinds = [routes.resumable, routes.stream, routes.unsafe, routes.safe];
  const client = async address => {
    let channel = new Channel(address);
    while (nowMs() < trafficMs) {
      const id = newId(++sent);
      const route = pick(kinds);
      const isStream = route.kind === 'streaming';
      const isOnKeptConnection = channel.served > 0 && !channel.closed;
      const number = channel.served + 1;
      const deadlineMs = isStream ? 12_000 : 1000;
      const sentMs = nowMs();
      const headers = isStream ? promptHeaders : plainHeaders;
      const answer = await channel.send({
        path: `${route.pathPrefix}2f`,
        headers: headers(id, deadlineMs),
        body: `prompt ${id}`,
      });
      const {status, complete, how} = answer;
      seen.addRequest({
        ...{id, route: route.name, host: address, sentMs, endedMs: nowMs()},
        isConnected: how !== 'ECONNREFUSED',
        hasBegun: status > 0,
        ...{isAnswered: complete, isOnKeptConnection, deadlineMs},
        // A disruption of the store alone excuses no request of a plain route.
        isExcusedByStore: isStream,
        details: `${how}, number ${number} of its connection`,
      });
      const text = answer.body.toString();
      const whole = Array.from({length: events}, (_, i) => eventOf(id, i + 1));
      const isWhole = text === (isStream ? whole.join('') : 'done');
      if (complete && status === 200) {
        served++;
        const tail = JSON.stringify(text.slice(-60));
        if (!isWhole) breaks('ORDER', `${id} ${route.name} ${tail}`);
      }
      const targets = runs.get(id) ?? [];
      const mayRepeat = route === routes.safe || route === routes.resumable;
      if (!mayRepeat && targets.length > 1) breaks('TWICE', `${id} ${targets}`);
      if (!mayRepeat && targets.length > 0 && [429, 503].includes(status)) {
        breaks('REFUSED', `${id} ${status}`);
      }
      if (channel.closed) {
        await wait(50);
        channel = new Channel(address);
      }
    }
    channel.close();
  };
  const disrupt = async () => {
    const names = Object.keys(disruptions);
    while (nowMs() < trafficMs - calmMs) {
      await wait(300 + random() * 1500);
      const name = pick(names);
      const free = fleet.hosts.filter(
        host => !host.ended && !expected.has(host),
      );
      // Most of the hosts stay up, so that requests are served.
      if (['kill', 'stop', 'freeze'].includes(name) && free.length < 4)
        continue;
      if (free.length === 0) continue;
      const host = pick(free);
      const isOfHost = ['kill', 'stop', 'freeze', 'hup'].includes(name);
      note(isOfHost ? `${name} ${host.front}` : name);
      void disruptions[name](host);
    }
  };
  await Promise.all([
    disrupt(),
    ...addresses.flatMap(address =>
      Array.from({length: clientsPerHost}, () => client(address)),
    ),
  ]);
  for (const host of fleet.hosts) expected.add(host);
  for (const engine of engines) engine.close();

  const lost = seen.findLost();
  for (const item of lost) {
    const rule = item.kind ? 'LOST beside planned work' : 'LOST when kept';
    breaks(rule, describeLost(item));
  }
  const counts = [...broken].map(([rule, list]) => `${rule} ${list.length}`);
  console.log(
    `seed ${seed}: sent ${sent}, served ${served}, disruptions ${log.length}; ${counts.join(', ') || 'no rule broken'}; the play was held up for ${stalls.longestMs()} ms at most`,
  );
  for (const [rule, list] of broken) {
    for (const details of list.slice(0, 8)) console.log(`  ${rule} ${details}`);
  }
  const isBroken = [...broken].some(
    ([rule, list]) =>
      rule !== 'LOST when kept' || list.length > maxCutOnKeptConnections,
  );
  if (isBroken) console.log(log.map(line => `  ${line}`).join('\n'));
  return !isBroken;
});
