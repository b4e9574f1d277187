// One of three engines spoils a few of its answers: their body goes on without end, in small chunks, and never holds an
// event. Counts the sound requests, at sound engines and on kept channels, that the host leaves without an answer.
import {performance} from 'node:perf_hooks';
import console from 'node:console';
import {dirname} from 'node:path';
import {clearInterval, setInterval} from 'node:timers';
import {fileURLToPath} from 'node:url';
import {Channel} from '../lib/client.mjs';
import {configuration, newId, promptHeaders} from '../lib/deployment.mjs';
import {Engine} from '../lib/engine.mjs';
import {broken, held, play, Record, trouble} from '../lib/fleet.mjs';

const trafficMs = 30_000;
/** The disruption: `garble` stands with 5 s in the site file, and with one answer in 20 (`x = 0.05`). */
const garbleFromMs = 4000;
const garbleForMs = 5000;
const garbleEvery = 20;
/** Requesters, of which each has one channel. */
const clients = 40;
/** Events of a sound answer, and the time between two of them. */
const events = 4;
const eventMs = 20;
/** Chunks that a spoilt answer sends at a time, and how often. */
const chunksAtOnce = 1000;
const spoiltEveryMs = 20;

const folder = dirname(fileURLToPath(import.meta.url));

await play(async fleet => {
  const record = new Record(folder);
  let startMs = Infinity;
  const isGarbling = () => {
    const sinceMs = performance.now() - startMs - garbleFromMs;
    return trouble && sinceMs >= 0 && sinceMs < garbleForMs;
  };
  let spoilt = 0;
  let answered = 0;
  const spoiltRequests = new Set();
  const soundRuns = new Map();
  const spoil = (request, answer) => {
    spoilt++;
    spoiltRequests.add(request.id);
    record.add('spoils its answer', {
      engine: answer.engine.id,
      request: request.id,
    });
    answer.begin('200 OK', 'text/event-stream');
    const part = '1\r\nx\r\n'.repeat(chunksAtOnce);
    const timer = setInterval(() => answer.socket.write(part), spoiltEveryMs);
    answer.onStop = () => clearInterval(timer);
  };
  const serve = (request, answer) => {
    answer.begin('200 OK', 'text/event-stream');
    let sent = 0;
    const timer = setInterval(() => {
      sent++;
      answer.chunk(`id: ${sent}\ndata: ${'piece'.repeat(10)}\n\n`);
      if (sent < events) return;
      clearInterval(timer);
      answer.end();
    }, eventMs);
    answer.onStop = () => clearInterval(timer);
  };
  const engines = ['pokhara', 'beni', 'jomsom'].map(
    (zone, i) =>
      new Engine({
        id: `i-7f3a91c${i}`,
        service: 'huvo11a',
        zone,
        slots: 11,
        queue: 6,
        record: (kind, fields) => record.add(kind, fields),
        run: (request, answer) => {
          if (i === 0 && isGarbling() && ++answered % garbleEvery === 0)
            return spoil(request, answer);
          soundRuns.set(request.id, i);
          serve(request, answer);
        },
      }),
  );
  for (const engine of engines) await engine.start(fleet.store, '127.0.0.1');
  await fleet.start(1, configuration);
  const [host] = fleet.hosts;
  host.onEnd = ({code, signal, error}) =>
    record.add('THE HOST HAS ENDED', {host: host.name, code, signal, error});

  let sent = 0;
  let lost = 0;
  startMs = performance.now();
  const requester = async () => {
    let channel = new Channel(host.front);
    while (performance.now() - startMs < trafficMs && !host.ended) {
      const id = newId(++sent);
      const wasKept = channel.served > 0;
      record.add('sent', {request: id, kept: wasKept});
      const answer = await channel.send({
        path: '/lohu930/2f',
        headers: promptHeaders(id, 15_000),
        body: 'prompt',
      });
      const isLost =
        wasKept &&
        !answer.complete &&
        soundRuns.has(id) &&
        soundRuns.get(id) !== 0;
      if (isLost) lost++;
      record.add(isLost ? 'LOST' : 'answered', {
        request: id,
        status: answer.status,
        complete: answer.complete,
        how: answer.how,
      });
      if (channel.closed) channel = new Channel(host.front);
    }
    channel.close();
  };
  await Promise.all(Array.from({length: clients}, requester));

  const end = host.ended
    ? `code ${host.ended.code}, signal ${host.ended.signal}, "${host.ended.error}"`
    : 'no';
  const result = `sent ${sent}, answers spoilt ${spoilt}; host ended by itself: ${end}; sound requests at sound engines, on kept channels, without an answer: ${lost}`;
  record.add('result', {text: result});
  console.log(result);
  await record.close();
  for (const engine of engines) engine.close();
  // RULES.md: "more than three times".
  return lost > 3 ? broken : held;
});
