// Sound engines preempt requests in the middle of their streams. Counts the streams that the host breaks off although
// their engine goes on with them.
import {performance} from 'node:perf_hooks';
import console from 'node:console';
import {dirname} from 'node:path';
import {clearTimeout, setTimeout} from 'node:timers';
import {fileURLToPath} from 'node:url';
import {Channel} from '../lib/client.mjs';
import {configuration, newId, promptHeaders} from '../lib/deployment.mjs';
import {Engine} from '../lib/engine.mjs';
import {broken, held, play, Record, trouble} from '../lib/fleet.mjs';

const trafficMs = 20_000;
const clientsPerHost = 10;
const events = 20;
const eventMs = 30;
const pauseMs = 1600;

const folder = dirname(fileURLToPath(import.meta.url));

await play(async fleet => {
  const record = new Record(folder);
  const cutByHost = [];
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
          answer.begin('200 OK', 'text/event-stream');
          let next = Number(request.headers['last-event-id'] ?? 0);
          const pauseAt = trouble ? 10 : -1;
          let timer;
          const step = () => {
            next++;
            answer.chunk(`id: ${next}\ndata: ${'piece'.repeat(10)}\n\n`);
            if (next >= events) return answer.end();
            timer = setTimeout(step, next === pauseAt ? pauseMs : eventMs);
          };
          timer = setTimeout(step, eventMs);
          answer.onStop = () => {
            clearTimeout(timer);
            cutByHost.push(request.id);
          };
        },
      }),
  );
  for (const engine of engines) await engine.start(fleet.store, '127.0.0.1');
  await fleet.start(2, configuration);
  const startMs = performance.now();
  let sent = 0;
  let lost = 0;
  const requester = async host => {
    let channel = new Channel(host.front);
    while (performance.now() - startMs < trafficMs) {
      const id = newId(++sent);
      const wasKept = channel.served > 0;
      record.add('sent', {request: id, kept: wasKept});
      const answer = await channel.send({
        path: '/pufi791/2f',
        headers: promptHeaders(id, 12_000),
        body: 'prompt',
      });
      const isLost = wasKept && !answer.complete;
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
  await Promise.all(
    fleet.hosts.flatMap(host =>
      Array.from({length: clientsPerHost}, () => requester(host)),
    ),
  );
  const result = `sent ${sent}, runs cut ${cutByHost.length}, broken off on kept channels: ${lost}`;
  record.add('result', {text: result});
  console.log(result);
  await record.close();
  for (const engine of engines) engine.close();
  return lost > 3 ? broken : held;
});
