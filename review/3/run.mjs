// Another writer leaves an entry among those of the engines whose `address` is none: its port is no port. Counts the sound
// requests, at sound engines and on kept channels, that hosts leave without an answer, and the hosts that end.
import {performance} from 'node:perf_hooks';
import console from 'node:console';
import {dirname} from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Channel} from '../lib/client.mjs';
import {configuration, newId, plainHeaders} from '../lib/deployment.mjs';
import {Engine} from '../lib/engine.mjs';
import {broken, held, play, Record, trouble} from '../lib/fleet.mjs';

const trafficMs = 8000;
const entryAtMs = 3000;
const clientsPerHost = 8;
const restartMs = 500;

const folder = dirname(fileURLToPath(import.meta.url));

await play(async fleet => {
  const record = new Record(folder);
  const ran = new Set();
  const engines = ['pokhara', 'beni', 'jomsom'].map(
    (zone, i) =>
      new Engine({
        id: `i-7f3a91c${i}`,
        service: 'wuno96b',
        zone,
        slots: 6,
        queue: 6,
        record: (kind, fields) => {
          if (kind === 'runs') ran.add(fields.request);
          record.add(kind, fields);
        },
        run: (_request, answer) => {
          void wait(40 + 60 * Math.random()).then(() =>
            answer.whole('200 OK', 'done'.repeat(200)),
          );
        },
      }),
  );
  for (const engine of engines) await engine.start(fleet.store, '127.0.0.1');
  await fleet.start(3, configuration);
  const ends = new Map(fleet.hosts.map(({name}) => [name, 0]));
  let error = 'none';
  const watch = host => {
    host.onEnd = ended => {
      error = ended.error;
      ends.set(host.name, ends.get(host.name) + 1);
      record.add('A HOST HAS ENDED', {
        host: host.name,
        code: ended.code,
        signal: ended.signal,
        error,
      });
      // The platform starts a process that has ended again after a short delay.
      void wait(restartMs).then(() => {
        if (isOver) return;
        record.add('the platform starts it again', {host: host.name});
        watch(fleet.restart(host));
      });
    };
  };
  let isOver = false;
  for (const host of fleet.hosts) watch(host);

  const startMs = performance.now();
  if (trouble) {
    void wait(entryAtMs).then(() => {
      const entry = {
        service: 'wuno96b',
        address: '127.0.0.1:80800',
        zone: 'pokhara',
        version: 'v1',
        slots: 6,
        state: 'ready',
        coldRemainingMs: 0,
        sequence: 1,
        born: Date.now(),
      };
      fleet.store.put('keyed.servers', 'i-00000000', entry);
      record.add('another writer adds an entry', {
        key: 'i-00000000',
        value: JSON.stringify(entry),
      });
    });
  }

  let sent = 0;
  let lost = 0;
  const requester = async host => {
    let channel = new Channel(host.front);
    while (performance.now() - startMs < trafficMs) {
      const id = newId(++sent);
      const wasKept = channel.served > 0;
      record.add('sent', {request: id, host: host.name, kept: wasKept});
      const answer = await channel.send({
        path: '/puxa403/2f',
        headers: plainHeaders(id, 1000),
        body: 'crew=3',
      });
      const isLost = wasKept && !answer.complete && ran.has(id);
      if (isLost) lost++;
      record.add(isLost ? 'LOST' : 'answered', {
        request: id,
        status: answer.status,
        complete: answer.complete,
        how: answer.how,
      });
      if (!channel.closed) continue;
      if (answer.status === 0) await wait(200);
      channel = new Channel(host.front);
    }
    channel.close();
  };
  await Promise.all(
    fleet.hosts.flatMap(host =>
      Array.from({length: clientsPerHost}, () => requester(host)),
    ),
  );

  isOver = true;
  const result = `sent ${sent}; ends of hosts by themselves: ${[...ends].map(pair => pair.join(' ')).join(', ')} (last error: ${error}); sound requests at sound engines, on kept channels, without an answer: ${lost}`;
  record.add('result', {text: result});
  console.log(result);
  await record.close();
  for (const engine of engines) engine.close();
  // RULES.md: "more than three times".
  return lost > 3 ? broken : held;
});
