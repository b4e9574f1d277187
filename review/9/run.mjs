// Case 9: an engine stops in the middle of an event and ends its chunked answer; the route allows the stream to be resumed.
import {URL} from 'node:url';
import {
  Channel,
  answerHead,
  chunk,
  configuration,
  hasTrouble,
  runCase,
  sleep,
  streamHeaders,
} from '../lib-2/stage.mjs';

const events = 8;
const rounds = 12;

await runCase(new URL('record.txt', import.meta.url).pathname, async stage => {
  const stopped = new Set();
  async function stream(request, socket, engine) {
    const from = Number(request.headers['last-event-id'] ?? 0);
    stage.note(`engine ${engine.id} runs ${request.id} from event ${from + 1}`);
    socket.write(
      answerHead(request, engine, {
        extra: [
          'Content-Type: text/event-stream',
          'Transfer-Encoding: chunked',
        ],
      }),
    );
    for (let i = from + 1; i <= events; i++) {
      if (socket.destroyed) return;
      const event = `id: ${i}\ndata: token ${i}\n\n`;
      if (
        hasTrouble &&
        engine.id === 's1' &&
        i === 5 &&
        !stopped.has(request.id)
      ) {
        stopped.add(request.id);
        stage.note(
          `engine ${engine.id} stops in the middle of event ${i} of ${request.id}`,
        );
        socket.write(`${chunk(event.slice(0, 12))}0\r\n\r\n`);
        return;
      }
      socket.write(chunk(event));
      await sleep(40);
    }
    socket.write('0\r\n\r\n');
  }
  const zones = ['pokhara', 'beni', 'jomsom'];
  const engines = Array.from({length: 4}, (_, i) => ({
    id: `s${i + 1}`,
    service: 'seam',
    zone: zones[i % 3],
    onRequest: stream,
  }));
  await stage.start({hosts: 3, config: configuration(), engines});
  await sleep(1000);
  let broken = false;
  await Promise.all(
    Array.from({length: rounds}, async (_, i) => {
      await sleep(100 * i);
      const id = `stream-${i + 1}`;
      const channel = new Channel(stage.front(i % 3));
      channel.send({
        path: `/fault/${i}`,
        host: 'ficu95.example',
        id,
        headers: streamHeaders(),
        body: '{}',
      });
      const answer = await channel.answer(6000);
      channel.close();
      const ids = [
        ...(answer.body ?? '').matchAll(/id: (\d+)\ndata: token \d+\n\n/g),
      ].map(match => Number(match[1]));
      const isWhole =
        ids.length === events && ids.every((each, k) => each === k + 1);
      stage.note(
        `caller: ${id} status ${answer.status}, ${answer.complete ? 'complete' : 'broken off'}, whole events ${ids.join(' ')}, ends ${JSON.stringify((answer.body ?? '').slice(-14))}`,
      );
      if (answer.complete && answer.status === 200 && !isWhole) {
        stage.note(`BROKEN: ${id} ends as complete before its last event`);
        broken = true;
      }
    }),
  );
  if (hasTrouble && stopped.size === 0) throw new Error('no engine stopped');
  return broken;
});
