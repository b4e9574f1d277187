// Plays hosts as processes beside disruptions in series and checks rules from what callers and targets see. The processes,
// the store and the targets are the stand-ins of review/lib.
//
//   node scripts/bundle.js && node bench/processes/mixed.mjs [SEED...]
//
// Exit code 1 if a rule was broken. ROOT names another checkout whose program and stand-ins are played instead.
import console from 'node:console';
import {spawnSync} from 'node:child_process';
import {once} from 'node:events';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath, pathToFileURL, URL} from 'node:url';
import {createRandom} from '../../dist/src/process/random.js';

const root =
  process.env.ROOT ?? fileURLToPath(new URL('../../', import.meta.url));
const lib = name =>
  import(pathToFileURL(join(root, 'review', 'lib', `${name}.mjs`)).href);
const {Channel} = await lib('client');
const {configuration, newId, plainHeaders, promptHeaders, routes} =
  await lib('deployment');
const {Engine, shed} = await lib('engine');
const {play} = await lib('fleet');

const hostCount = 5;
const engineCount = 6;
const plainCount = 3;
const clientsPerHost = 8;
const trafficMs = 50_000;
/** Time at the end without new disruptions, in milliseconds. */
const calmMs = 8000;
const zones = ['pokhara', 'beni', 'jomsom'];
const events = 24;
const eventMs = 30;
/** Bound on the requests to a cold engine in a second: coldPerS x coldOver + coldSlack. */
const coldPerSecond = 13 * 1.5 + 5;
const coldMs = 3000;
/** Time after a disruption for which it excuses a host, in milliseconds. */
const excuseMs = 3000;

const seeds = process.argv.slice(2);
if (seeds.length > 1 || seeds.length === 0) {
  // Each play ends its process, so several seeds are played one after the other.
  let failed = 0;
  for (const seed of seeds.length > 0 ? seeds : ['1', '2', '3']) {
    const file = fileURLToPath(import.meta.url);
    const {status} = spawnSync(process.execPath, [file, seed], {
      stdio: 'inherit',
    });
    if (status !== 0) failed++;
  }
  process.exit(failed > 0 ? 1 : 0);
}
const random = createRandom(Number(seeds[0]));
const pick = items => items[Math.floor(random() * items.length)];

await play(async fleet => {
  const broken = new Map();
  const breaks = (rule, details) => {
    broken.set(rule, [...(broken.get(rule) ?? []), details]);
  };
  /** Requests at targets that crashed or were reset meanwhile. */
  const excused = new Set();
  const runs = new Map();
  const troubledUntilMs = new Map();
  const startMs = performance.now();
  const log = [];
  const note = text =>
    log.push(`${((performance.now() - startMs) / 1000).toFixed(2)} ${text}`);

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
    const engine = new Engine({
      id: `i-7f3a91${i.toString(16).padStart(2, '0')}`,
      service,
      zone: zones[i % zones.length],
      slots: service === routes.stream.service ? 11 : 6,
      queue: 6,
      record: (kind, {request}) => {
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
  for (const engine of engines) await engine.start(fleet.store, '127.0.0.1');
  await fleet.start(hostCount, configuration);
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
  const trouble = host =>
    troubledUntilMs.set(host.front, performance.now() + excuseMs);
  const restart = async host => {
    if (!host.ended) await once(host.child, 'exit');
    trouble(host);
    watch(fleet.restart(host));
  };

  let version = configuration.version;
  const configure = change =>
    fleet.store.put('keyed.op', 'config', {
      ...configuration,
      version: ++version,
      ...change,
    });
  let isAway = false;
  const disruptions = {
    async kill(host) {
      expected.add(host);
      trouble(host);
      host.child.kill('SIGKILL');
      await restart(host);
    },
    async stop(host) {
      expected.add(host);
      troubledUntilMs.set(host.front, performance.now() + 12_000);
      host.child.kill('SIGTERM');
      await restart(host);
    },
    async freeze(host) {
      host.child.kill('SIGSTOP');
      troubledUntilMs.set(host.front, performance.now() + 6000);
      await wait(500 + random() * 1500);
      if (!host.ended) host.child.kill('SIGCONT');
    },
    async hup(host) {
      host.child.kill('SIGHUP');
    },
    async crash() {
      const engine = pick(engines);
      if (engine.isDown) return;
      engine.isDown = true;
      for (const {id} of engine.running) excused.add(id);
      const byReset = random() < 0.5;
      for (const socket of [...engine.sockets]) {
        if (byReset) socket.resetAndDestroy();
      }
      engine.close();
      await wait(1000 + random() * 3000);
      engine.coldUntilMs = performance.now() + coldMs;
      engine.coldRuns = [];
      await engine.restart(fleet.store);
      engine.isDown = false;
    },
    async reset() {
      const engine = pick(engines);
      for (const {id, channel} of [...engine.running]) {
        if (random() < 0.5) continue;
        excused.add(id);
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
      fleet.store.away = true;
      await wait(500 + random() * 2000);
      fleet.store.away = false;
      isAway = false;
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
    while (performance.now() - startMs < trafficMs) {
      const id = newId(++sent);
      const route = pick(kinds);
      const isStream = route.kind === 'streaming';
      const wasKept = channel.served > 0 && !channel.closed;
      const sentMs = performance.now();
      const headers = isStream ? promptHeaders : plainHeaders;
      const answer = await channel.send({
        path: `${route.pathPrefix}2f`,
        headers: headers(id, isStream ? 12_000 : 1000),
        body: `prompt ${id}`,
      });
      const {status, complete, how} = answer;
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
      const troubledMs = troubledUntilMs.get(address) ?? -Infinity;
      const isExcused = excused.has(id) || sentMs < troubledMs;
      if (wasKept && !complete && targets.length > 0 && !isExcused) {
        breaks('LOST', `${id} ${route.name} ${address} ${how} ${targets}`);
        note(`LOST ${id} after ${Math.round(performance.now() - sentMs)} ms`);
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
    while (performance.now() - startMs < trafficMs - calmMs) {
      await wait(300 + random() * 1500);
      const name = pick(names);
      const free = fleet.hosts.filter(
        host => !host.ended && !expected.has(host),
      );
      // Most of the hosts stay up, so that requests are served.
      if (['kill', 'stop', 'freeze'].includes(name) && free.length < 4)
        continue;
      if (free.length === 0) continue;
      note(name);
      void disruptions[name](pick(free));
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

  const counts = [...broken].map(([rule, list]) => `${rule} ${list.length}`);
  console.log(
    `seed ${seeds[0]}: sent ${sent}, served ${served}, disruptions ${log.length}; ${counts.join(', ') || 'no rule broken'}`,
  );
  for (const [rule, list] of broken) {
    for (const details of list.slice(0, 4)) console.log(`  ${rule} ${details}`);
  }
  // LOST allows three requests a host.
  const isBroken = [...broken].some(
    ([rule, list]) => rule !== 'LOST' || list.length > 3,
  );
  if (isBroken) console.log(log.map(line => `  ${line}`).join('\n'));
  return isBroken ? 1 : 0;
});
