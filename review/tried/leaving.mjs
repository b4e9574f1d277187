// Engines leave: each says `draining` and is gone two seconds later, in the middle of its streams. A few of the answers have
// no length and end with their channel. Compares each answer that is framed as complete with the events that belong to it.
import {performance} from 'node:perf_hooks';
import console from 'node:console';
import {dirname} from 'node:path';
import {clearInterval, clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Channel} from '../lib/client.mjs';
import {configuration, newId, promptHeaders} from '../lib/deployment.mjs';
import {Engine} from '../lib/engine.mjs';
import {broken, held, play, Record, trouble} from '../lib/fleet.mjs';

const trafficMs = 92_000;
/** One engine of seven (0.143) leaves, is gone two seconds after its notice, and another one comes four seconds later. */
const engineCount = 7;
const noticeMs = 2000;
const replaceMs = 4000;
/** One answer in 20 (0.05) has no length. */
const unframedEvery = 20;
const clientsPerHost = 24;
const events = 40;
const eventMs = 100;
const zones = ['pokhara', 'beni', 'jomsom'];

const folder = dirname(fileURLToPath(import.meta.url));

await play(async fleet => {
  const record = new Record(folder);
  let answers = 0;
  let unframed = 0;
  const eventOf = (request, number) =>
    `id: ${number}\ndata: ${request}-${number}\n\n`;
  const run = (request, answer) => {
    const isFramed = ++answers % unframedEvery !== 0;
    const {socket} = answer;
    if (isFramed) answer.begin('200 OK', 'text/event-stream');
    else {
      unframed++;
      socket.write(
        `${answer.headers('200 OK', 'text/event-stream')}Connection: close\r\n\r\n`,
      );
    }
    let number = 0;
    let timer;
    const step = () => {
      if (!answer.open) return;
      number++;
      const event = eventOf(request.id, number);
      if (isFramed) answer.chunk(event);
      else socket.write(event);
      if (number < events) timer = setTimeout(step, eventMs);
      else if (isFramed) answer.end();
      else {
        socket.end();
        answer.close('200');
      }
    };
    timer = setTimeout(step, eventMs);
    answer.onStop = () => clearTimeout(timer);
  };
  let started = 0;
  const startEngine = async () => {
    const engine = new Engine({
      id: `i-7f3a91${(16 + started).toString(16)}`,
      service: 'huvo11a',
      zone: zones[started++ % zones.length],
      slots: 11,
      queue: 6,
      record: (kind, fields) => record.add(kind, fields),
      run,
    });
    await engine.start(fleet.store, '127.0.0.1');
    return engine;
  };
  const engines = [];
  while (engines.length < engineCount) engines.push(await startEngine());
  await fleet.start(2, configuration);

  const startMs = performance.now();
  const leave = async () => {
    while (trouble && performance.now() - startMs < trafficMs - 10_000) {
      await wait(1000);
      const engine = engines.shift();
      clearInterval(engine.timer);
      engine.beat('draining');
      record.add('says that it leaves', {engine: engine.id});
      await wait(noticeMs);
      record.add('is gone', {engine: engine.id, running: engine.running.size});
      engine.close();
      fleet.store.put('keyed.servers', engine.id);
      await wait(replaceMs);
      engines.push(await startEngine());
    }
  };
  let sent = 0;
  let short = 0;
  let complete = 0;
  const requester = async host => {
    let channel = new Channel(host.front);
    while (performance.now() - startMs < trafficMs - 6000) {
      const id = newId(++sent);
      record.add('sent', {request: id, host: host.name});
      const answer = await channel.send({
        path: '/lohu930/2f',
        headers: promptHeaders(id, 15_000),
        body: 'prompt',
      });
      const whole = Array.from({length: events}, (_, i) =>
        eventOf(id, i + 1),
      ).join('');
      const body = answer.body.toString();
      const isOk = answer.complete && answer.status === 200;
      const isShort = isOk && body !== whole;
      if (isShort) short++;
      else if (isOk) complete++;
      record.add(isShort ? 'ORDER' : 'answered', {
        request: id,
        status: answer.status,
        framed: answer.complete,
        how: answer.how,
        bytes: `${body.length}/${whole.length}`,
        seal: answer.headers['x-response-seal'] ?? 'none',
      });
      if (channel.closed) channel = new Channel(host.front);
    }
    channel.close();
  };
  await Promise.all([
    leave(),
    ...fleet.hosts.flatMap(host =>
      Array.from({length: clientsPerHost}, () => requester(host)),
    ),
  ]);

  const result = `sent ${sent}, answers without a length ${unframed}, whole streams ${complete}; framed as complete, but not whole: ${short}`;
  record.add('result', {text: result});
  console.log(result);
  await record.close();
  for (const engine of engines) engine.close();
  return short > 0 ? broken : held;
});
