// Case 10: engines are replaced one after the other; each ends once its last answer, which has no length, is sent.
import {URL} from 'node:url';
import {
  Channel,
  answerHead,
  bounds,
  chunk,
  configuration,
  hasTrouble,
  plainAnswer,
  runCase,
  sleep,
  streamHeaders,
} from '../lib-2/stage.mjs';

const engineCount = 16;
/** Engines that are replaced, one at a time. */
const replacedCount = 8;
/** Events of a stream by its id: 2 to 6.5 s, as those of `history-digest`. */
const eventsOf = id => 20 + ((Number(id.split('-')[1]) * 7) % 46);

await runCase(new URL('record.txt', import.meta.url).pathname, async stage => {
  const whole = new Set();
  const cut = new Set();
  let isOver = false;

  async function stream(request, socket, engine) {
    engine.open++;
    const events = eventsOf(request.id);
    // An answer without a length ends with its channel.
    const isOpenEnded = request.path.startsWith('/digest/');
    const head = ['Content-Type: text/event-stream'];
    head.push(isOpenEnded ? 'Connection: close' : 'Transfer-Encoding: chunked');
    socket.write(answerHead(request, engine, {extra: head}));
    for (let i = 1; i <= events && !socket.destroyed; i++) {
      const event = `id: ${i}\ndata: token ${i}\n\n`;
      socket.write(isOpenEnded ? event : chunk(event));
      await sleep(100);
    }
    if (socket.destroyed) cut.add(request.id);
    else {
      whole.add(request.id);
      await new Promise(resolve =>
        socket.end(isOpenEnded ? '' : '0\r\n\r\n', resolve),
      );
    }
    engine.open--;
    engine.onIdle?.();
  }

  /** Replaces an engine: the new one starts first, the old one drains and ends when its last answer is sent. */
  async function replace(engine) {
    const {service, zone, id} = engine;
    await stage.addEngine(spec(`${id}n`, service, zone));
    engine.state = 'draining';
    stage.store.put('keyed.servers', id, engine.entry('draining'));
    stage.note(
      `engine ${id} drains, ${engine.open} requests in progress, replaced by ${id}n`,
    );
    await sleep(bounds.drainMs + 300);
    engine.onIdle = () => {
      if (engine.open > 0 || engine.silent) return;
      engine.silent = true;
      stage.note(`engine ${id} has sent its last answer and ends`);
      engine.kill();
      stage.store.put('keyed.servers', id, undefined);
    };
    engine.onIdle();
  }
  const spec = (id, service, zone) => ({
    id,
    service,
    zone,
    open: 0,
    onRequest: stream,
  });

  const config = configuration();
  config.routes.push({
    ...config.routes[0],
    name: 'r-digest',
    pathPrefix: '/digest/',
    timeoutMs: 15000,
    targetLatencyMs: 800,
    priority: 0,
    attempts: 1,
    streamResume: false,
  });
  const zones = ['pokhara', 'beni', 'jomsom'];
  const engines = Array.from({length: engineCount}, (_, i) =>
    spec(`s${i + 1}`, 'seam', zones[i % 3]),
  );
  const plain = (request, socket, engine) =>
    socket.write(plainAnswer(request, engine, 'parts'));
  const upkeep = {
    id: 'u1',
    service: 'upkeep',
    zone: 'pokhara',
    onRequest: plain,
  };
  await stage.start({hosts: 3, config, engines: [...engines, upkeep]});
  for (const engine of stage.engines) engine.open = 0;
  await sleep(1000);

  const results = [];
  let n = 0;
  async function callAll(host) {
    while (!isOver) {
      // The channel is kept: its first request is answered before the stream is asked for.
      const channel = new Channel(stage.front(host));
      channel.send({
        method: 'GET',
        path: '/parts/x',
        host: 'ficu95.example',
        id: `parts-${++n}`,
        headers: {'X-Key': 'key-one', 'X-Deadline-Ms': 3000},
      });
      await channel.answer(3500);
      const id = `digest-${++n}`;
      channel.send({
        path: `/digest/${n}`,
        host: 'ficu95.example',
        id,
        headers: {...streamHeaders(), 'X-Deadline-Ms': 15000},
        body: '{}',
      });
      const answer = await channel.answer(9000);
      channel.close();
      results.push({
        id,
        status: answer.status,
        isComplete: answer.complete,
        body: answer.body ?? '',
      });
      await sleep(Math.random() * 300);
    }
  }
  const calls = Array.from({length: 60}, (_, i) => callAll(i % 3));
  await sleep(2000);
  if (hasTrouble) {
    const first = stage.engines
      .filter(({service}) => service === 'seam')
      .slice(0, replacedCount);
    const replaced = [];
    for (const engine of first) {
      replaced.push(replace(engine));
      await sleep(1000);
    }
    await Promise.all(replaced);
  } else await sleep(10_000);
  await sleep(6000);
  isOver = true;
  await Promise.all(calls);
  const isWhole = ({id, body}) =>
    body.endsWith(`data: token ${eventsOf(id)}\n\n`);
  const lost = results.filter(each => !each.isComplete && whole.has(each.id));
  stage.note(
    `${results.length} streams, ${results.filter(each => each.isComplete && isWhole(each)).length} complete; ${cut.size} cut by the hosts while their engine worked`,
  );
  for (const each of lost) {
    stage.note(
      `BROKEN: the engine sent ${each.id} whole; its channel is closed without the end of the answer, status ${each.status}, last event ${isWhole(each) ? 'there' : 'missing'}`,
    );
  }
  return lost.length > 3;
});
