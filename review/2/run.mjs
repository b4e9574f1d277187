// An engine crashes in the middle of its streams while engines answer part of their requests with 500. Compares each answer
// that is framed as complete with the events that belong to it.
import {performance} from 'node:perf_hooks';
import console from 'node:console';
import {dirname} from 'node:path';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Channel} from '../lib/client.mjs';
import {configuration, newId, promptHeaders} from '../lib/deployment.mjs';
import {Engine} from '../lib/engine.mjs';
import {broken, held, play, Record, trouble} from '../lib/fleet.mjs';

const trafficMs = 26_000;
/** The disruptions come every 6 s: `srv_grey` errors for 4 s (`x = 0.45`), and a crash of one of four engines (0.25) for 2 s. */
const periodMs = 6000;
const greyFromMs = 2000;
const greyForMs = 4000;
const crashAtMs = 3000;
const crashForMs = 2000;
const errorShare = 0.45;
const clientsPerHost = 8;
const events = 40;
const eventMs = 30;

const folder = dirname(fileURLToPath(import.meta.url));

await play(async fleet => {
  const record = new Record(folder);
  let startMs = Infinity;
  const isGrey = () => {
    const sinceMs = (performance.now() - startMs) % periodMs;
    return trouble && sinceMs >= greyFromMs && sinceMs < greyFromMs + greyForMs;
  };
  const eventOf = (request, number) =>
    `id: ${number}\ndata: ${request}-${number}\n\n`;
  const run = (request, answer) => {
    if (isGrey() && Math.random() < errorShare) {
      record.add('fails it', {
        engine: answer.engine.id,
        request: request.id,
        status: 500,
      });
      return answer.whole('500 Internal Server Error', 'internal error');
    }
    answer.begin('200 OK', 'text/event-stream');
    let number = Number(request.headers['last-event-id'] ?? 0);
    let timer;
    const step = () => {
      number++;
      answer.chunk(eventOf(request.id, number));
      if (number >= events) return answer.end();
      timer = setTimeout(step, eventMs);
    };
    timer = setTimeout(step, eventMs);
    answer.onStop = () => clearTimeout(timer);
  };
  const engines = ['pokhara', 'beni', 'jomsom', 'pokhara'].map(
    (zone, i) =>
      new Engine({
        id: `i-7f3a91c${i}`,
        service: 'huvo11a',
        zone,
        slots: 11,
        queue: 6,
        record: (kind, fields) => record.add(kind, fields),
        run,
      }),
  );
  for (const engine of engines) await engine.start(fleet.store, '127.0.0.1');
  await fleet.start(3, configuration);

  startMs = performance.now();
  const crash = async () => {
    for (let at = crashAtMs; trouble && at < trafficMs; at += periodMs) {
      await wait(startMs + at - performance.now());
      record.add('crashes', {engine: engines[0].id});
      engines[0].close();
      await wait(crashForMs);
      await engines[0].restart(fleet.store);
      record.add('is back', {engine: engines[0].id});
    }
  };
  let sent = 0;
  let short = 0;
  let complete = 0;
  const requester = async host => {
    let channel = new Channel(host.front);
    while (performance.now() - startMs < trafficMs) {
      const id = newId(++sent);
      record.add('sent', {request: id, host: host.name});
      const answer = await channel.send({
        path: '/pufi791/2f',
        headers: promptHeaders(id, 12_000),
        body: 'prompt',
      });
      const whole = Array.from({length: events}, (_, i) =>
        eventOf(id, i + 1),
      ).join('');
      const body = answer.body.toString();
      const isShort =
        answer.complete && answer.status === 200 && body !== whole;
      if (isShort) short++;
      else if (answer.complete && answer.status === 200) complete++;
      record.add(isShort ? 'ORDER' : 'answered', {
        request: id,
        status: answer.status,
        framed: answer.complete,
        how: answer.how,
        bytes: `${body.length}/${whole.length}`,
        seal: answer.headers['x-response-seal'] ?? 'none',
        ...(isShort ? {end: JSON.stringify(body.slice(-60))} : {}),
      });
      if (channel.closed) channel = new Channel(host.front);
    }
    channel.close();
  };
  await Promise.all([
    crash(),
    ...fleet.hosts.flatMap(host =>
      Array.from({length: clientsPerHost}, () => requester(host)),
    ),
  ]);

  const result = `sent ${sent}, whole streams ${complete}; framed as complete, but not whole: ${short}`;
  record.add('result', {text: result});
  console.log(result);
  await record.close();
  for (const engine of engines) engine.close();
  return short > 0 ? broken : held;
});
