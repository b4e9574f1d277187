// A request crashes each engine that begins to run it, and comes again. The engine's connections are reset as it ends,
// because it had not read all that was sent to it. Counts how often the request reaches engines after it has crashed three.
import {performance} from 'node:perf_hooks';
import console from 'node:console';
import process from 'node:process';
import {dirname} from 'node:path';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Channel} from '../lib/client.mjs';
import {configuration, newId, promptHeaders} from '../lib/deployment.mjs';
import {Engine} from '../lib/engine.mjs';
import {broken, held, play, Record, trouble} from '../lib/fleet.mjs';

const trafficMs = 30_000;
/** Such requests come for 20 s, beside some 25 sound ones a second: a share of 0.03. */
const poisonForMs = 20_000;
const contactMs = 3000;
/** Time after which an engine that crashed is back, in milliseconds. */
const backAfterMs = 3000;
/** Pause between two requests that crash engines, in milliseconds. */
const poisonEveryMs = 1200;
const engineCount = 7;
const clientsPerHost = 6;
const events = 20;
const eventMs = 30;
/** How the connections of a crashed engine end: `reset`, or `fin` for a comparison. */
const end = process.env.END ?? 'reset';
const zones = ['pokhara', 'beni', 'jomsom'];
const poisonBody = 'prompt that crashes engines '.repeat(1500);

const folder = dirname(fileURLToPath(import.meta.url));

await play(async fleet => {
  const record = new Record(folder);
  const crashes = [];
  const arrivals = [];
  const crash = async (engine, id) => {
    crashes.push(performance.now());
    record.add('crashes', {
      engine: engine.id,
      under: id,
      running: engine.running.size,
    });
    const sockets = [...engine.sockets];
    for (const socket of sockets) {
      if (end === 'reset') socket.resetAndDestroy();
    }
    engine.close();
    await wait(backAfterMs);
    await engine.restart(fleet.store);
    record.add('is back', {engine: engine.id});
  };
  const run = (request, answer) => {
    if (trouble && request.body.toString() === poisonBody) {
      return void crash(answer.engine, request.id);
    }
    answer.begin('200 OK', 'text/event-stream');
    let number = 0;
    let timer;
    const step = () => {
      number++;
      answer.chunk(`id: ${number}\ndata: ${request.id}-${number}\n\n`);
      if (number >= events) return answer.end();
      timer = setTimeout(step, eventMs);
    };
    timer = setTimeout(step, eventMs);
    answer.onStop = () => clearTimeout(timer);
  };
  const engines = Array.from({length: engineCount}, (_, i) => {
    const engine = new Engine({
      id: `i-7f3a91c${i}`,
      service: 'huvo11a',
      zone: zones[i % zones.length],
      slots: 11,
      queue: 6,
      record: (kind, fields) => record.add(kind, fields),
      run,
    });
    const {accept} = engine;
    engine.accept = request => {
      if (request.body.toString() === poisonBody) {
        arrivals.push({atMs: performance.now(), id: request.id});
        record.add('the crashing request reaches', {
          engine: engine.id,
          request: request.id,
        });
      }
      accept.call(engine, request);
    };
    return engine;
  });
  for (const engine of engines) await engine.start(fleet.store, '127.0.0.1');
  await fleet.start(3, configuration);

  const startMs = performance.now();
  let sent = 0;
  const headers = id => promptHeaders(id, 12_000);
  const poison = async () => {
    for (let i = 0; performance.now() - startMs < poisonForMs; i++) {
      await wait(poisonEveryMs);
      const host = fleet.hosts[i % fleet.hosts.length];
      const channel = new Channel(host.front);
      const id = newId(++sent);
      record.add('the crashing request is sent', {
        request: id,
        host: host.name,
      });
      void channel
        .send({
          path: '/pufi791/2f',
          headers: {
            ...headers(id),
            'X-Prompt-Prefix': '5c1e07a2:800,91bd3f06:410,0badf00d:250',
          },
          body: poisonBody,
        })
        .then(answer => {
          record.add('the crashing request is answered', {
            request: id,
            status: answer.status,
            how: answer.how,
          });
          channel.close();
        });
    }
  };
  let ok = 0;
  let failed = 0;
  const requester = async host => {
    let channel = new Channel(host.front);
    while (performance.now() - startMs < trafficMs) {
      const id = newId(++sent);
      const answer = await channel.send({
        path: '/lohu930/2f',
        headers: headers(id),
        body: `prompt ${id}`,
      });
      if (answer.complete && answer.status === 200) ok++;
      else {
        failed++;
        record.add('a sound request fails', {
          request: id,
          status: answer.status,
          how: answer.how,
        });
      }
      if (channel.closed) channel = new Channel(host.front);
    }
    channel.close();
  };
  await Promise.all([
    poison(),
    ...fleet.hosts.flatMap(host =>
      Array.from({length: clientsPerHost}, () => requester(host)),
    ),
  ]);

  const fromMs = (crashes[2] ?? Infinity) + contactMs;
  const late = arrivals.filter(({atMs}) => atMs > fromMs);
  // Retries by hosts: a request attempt of a requester, with its own id, that reaches one more engine.
  const retries = late.filter(
    ({id}, i) => late.findIndex(other => other.id === id) < i,
  );
  const result = `crashes ${crashes.length}; arrivals of the crashing request ${arrivals.length}; later than contactMs after the third crash: ${late.length}, of these retries by hosts: ${retries.length}; sound requests served ${ok}, failed ${failed}`;
  record.add('result', {text: result});
  console.log(result);
  await record.close();
  for (const engine of engines) engine.close();
  // RULES.md: "more than three retries".
  return retries.length > 3 ? broken : held;
});
