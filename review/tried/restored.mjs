// A rollout is completed, and the platform stops the engines of the old version. Then the store comes back from a copy that
// is some seconds old, in which the rollout still runs, while all hosts are killed and start again.
import {performance} from 'node:perf_hooks';
import console from 'node:console';
import process from 'node:process';
import {dirname} from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Channel} from '../lib/client.mjs';
import {configuration, newId, plainHeaders} from '../lib/deployment.mjs';
import {Engine} from '../lib/engine.mjs';
import {
  broken,
  couldNotRun,
  held,
  play,
  Record,
  trouble,
} from '../lib/fleet.mjs';

const service = 'wuno96b';
const durationS = Number(process.env.DURATION ?? 20);
/** Age of the copy, and how long the store is away, in milliseconds. */
const copyAgeMs = 9000;
const awayMs = 2000;
const recoverMs = 12_000;
const kill = process.env.KILL !== '0';
const restore = process.env.RESTORE !== '0';
const clientsPerHost = 6;

const folder = dirname(fileURLToPath(import.meta.url));

await play(async fleet => {
  const record = new Record(folder);
  const engines = [];
  const startEngine = async (version, zone, i) => {
    const engine = new Engine({
      id: `i-${version}-${i}`,
      version,
      service,
      zone,
      slots: 6,
      queue: 6,
      record: () => {},
      run: (_request, answer) => {
        void wait(15 + 10 * Math.random()).then(() =>
          answer.whole('200 OK', 'done'.repeat(200)),
        );
      },
    });
    await engine.start(fleet.store, '127.0.0.1');
    engines.push(engine);
  };
  const zones = ['pokhara', 'beni', 'jomsom'];
  for (const [i, zone] of zones.entries()) await startEngine('v1', zone, i);
  await fleet.start(3, configuration);

  const status = () => fleet.store.get('keyed.status', `rollout/${service}`);
  let drains;
  fleet.store.onAppend = (topic, key, value) => {
    if (topic !== 'keyed.status') return;
    record.add('a host writes', {key: `status/${key}`, value});
    const {state} = JSON.parse(value);
    const leaving =
      state === 'completed' ? 'v1' : state === 'rolled_back' ? 'v2' : undefined;
    if (!leaving) return;
    const gone = engines.filter(({version}) => version === leaving);
    if (state === 'completed') {
      // "At `completed`, the old engines stop immediately, without draining."
      for (const engine of gone) {
        engine.close();
        if (engine.stoppedOnce) continue;
        engine.stoppedOnce = true;
        fleet.store.put('keyed.servers', engine.id);
      }
      record.add('the engines of v1 stop');
    } else if (!drains) {
      // "At `rolled_back`, the new engines drain some seconds later."
      drains = wait(3000).then(() => {
        for (const engine of gone) engine.beat('draining');
        record.add('the engines of v2 drain');
      });
    }
  };

  const startMs = performance.now();
  let isOver = false;
  let phase = 'before';
  const counts = {before: [0, 0], between: [0, 0], after: [0, 0]};
  let sent = 0;
  const requester = async index => {
    let channel;
    while (!isOver) {
      const host = fleet.hosts[index];
      if (!channel || channel.closed) channel = new Channel(host.front);
      const id = newId(++sent);
      const at = phase;
      const answer = await channel.send({
        path: '/puxa403/2f',
        headers: plainHeaders(id, 1000),
        body: 'crew=3',
      });
      const ok = answer.status === 200 && answer.complete;
      counts[at][0]++;
      if (ok) counts[at][1]++;
      else await wait(200);
      await wait(20);
    }
    channel?.close();
  };
  const requesters = [0, 1, 2].flatMap(i =>
    Array.from({length: clientsPerHost}, () => requester(i)),
  );

  await wait(3000);
  for (const [i, zone] of zones.entries()) await startEngine('v2', zone, i);
  await wait(1500);
  const order = {service, target: 'v2', durationS};
  fleet.store.put('keyed.op', `rollout/${service}`, order);
  record.add('the operator writes', {
    key: `op/rollout/${service}`,
    value: JSON.stringify(order),
  });
  const copies = [];
  for (let i = 0; i < 120 && status()?.state !== 'completed'; i++) {
    copies.push({atMs: performance.now(), copy: fleet.store.copy()});
    await wait(500);
  }
  record.add('status', {value: JSON.stringify(status())});
  if (status()?.state !== 'completed') {
    console.log(`the rollout was not completed: ${JSON.stringify(status())}`);
    isOver = true;
    await Promise.all(requesters);
    return couldNotRun;
  }
  await wait(2000);
  if (trouble) {
    const nowMs = performance.now();
    const {copy, atMs} =
      copies.findLast(
        ({atMs: takenMs}) =>
          takenMs >= nowMs - copyAgeMs && takenMs <= nowMs - copyAgeMs + 600,
      ) ?? copies.at(-1);
    if (restore) {
      fleet.store.away = true;
      record.add('the store is away');
    }
    if (kill) {
      record.add('all hosts are killed');
      for (const host of [...fleet.hosts]) host.child.kill('SIGKILL');
    }
    phase = 'between';
    await wait(1000);
    if (kill) for (const host of [...fleet.hosts]) fleet.restart(host);
    await wait(awayMs - 1000);
    if (restore) {
      fleet.store.restore(copy);
      fleet.store.away = false;
      record.add('the store is back from a copy', {
        ageMs: Math.round(nowMs - atMs),
        status: JSON.stringify(status()),
      });
      // Engines that live write their entries again; those of v1 that the copy holds lapse after three heartbeats.
      for (const engine of engines)
        if (engine.version === 'v2') engine.beat('ready');
      void wait(3600).then(() => {
        for (const engine of engines) {
          if (engine.version === 'v1')
            fleet.store.put('keyed.servers', engine.id);
        }
        record.add('the entries of v1 lapse');
      });
    }
  }
  phase = 'between';
  await wait(recoverMs);
  phase = 'after';
  await wait(20_000);
  isOver = true;
  await Promise.all(requesters);
  const share = ([all, ok]) => `${ok} of ${all}`;
  const result = `served before: ${share(counts.before)}; between: ${share(counts.between)}; later than recoverS after the machines were back: ${share(counts.after)}; status at the end: ${JSON.stringify(status())}`;
  record.add('result', {
    text: result,
    tookS: Math.round((performance.now() - startMs) / 1000),
  });
  console.log(result);
  await record.close();
  for (const engine of engines) engine.close();
  return counts.after[1] < counts.after[0] / 4 ? broken : held;
});
