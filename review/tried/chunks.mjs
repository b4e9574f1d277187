// One requester sends a body, within the limits of the configuration, in small chunks. Counts the sound requests of others,
// at sound engines and on kept channels, that the host leaves without an answer.
import {performance} from 'node:perf_hooks';
import console from 'node:console';
import process from 'node:process';
import {dirname} from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {connect} from 'node:net';
import {Channel} from '../lib/client.mjs';
import {configuration, newId, plainHeaders} from '../lib/deployment.mjs';
import {Engine} from '../lib/engine.mjs';
import {broken, held, play, Record, trouble} from '../lib/fleet.mjs';

const trafficMs = 15_000;
const uploadAtMs = 2000;
/** Size of the body, in bytes; `maxBodyBytes` is 4,194,304. */
const bodyBytes = Number(process.env.BYTES ?? 2 * 1024 * 1024);
/** Bytes of a chunk. */
const chunkBytes = trouble ? 1 : 65_536;
const clients = 36;

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
          void wait(200 + 300 * Math.random()).then(() =>
            answer.whole('200 OK', 'done'.repeat(200)),
          );
        },
      }),
  );
  for (const engine of engines) await engine.start(fleet.store, '127.0.0.1');
  await fleet.start(1, configuration);
  const [host] = fleet.hosts;
  host.onEnd = ({code, signal, error}) =>
    record.add('THE HOST HAS ENDED', {host: host.name, code, signal, error});

  const startMs = performance.now();
  const upload = async () => {
    await wait(uploadAtMs);
    const id = newId(1);
    const [address, port] = host.front.split(':');
    const socket = connect({host: address, port: Number(port)});
    socket.on('error', () => {});
    const headers = Object.entries({
      Host: 'ficu95.example',
      ...plainHeaders(id, 15_000),
      'Transfer-Encoding': 'chunked',
    });
    record.add('sent', {request: id, bodyBytes, chunkBytes});
    socket.write(
      `POST /puxa403/2f HTTP/1.1\r\n${headers.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`,
    );
    const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
    const perWrite = Math.max(1, Math.floor(65_536 / chunkBytes));
    let answer = '';
    socket.on('data', bytes => (answer += bytes.toString('latin1')));
    for (
      let left = bodyBytes / chunkBytes;
      left > 0 && !socket.destroyed;
      left -= perWrite
    ) {
      if (socket.write(chunk.repeat(Math.min(left, perWrite)))) continue;
      await new Promise(resolve => {
        socket.once('drain', resolve);
        socket.once('close', resolve);
      });
    }
    socket.write('0\r\n\r\n');
    for (let i = 0; i < 50 && !answer && !socket.destroyed; i++)
      await wait(100);
    record.add('answered', {
      request: id,
      first: JSON.stringify(answer.split('\r\n')[0]),
      closed: socket.destroyed,
    });
    socket.destroy();
  };
  let sent = 1;
  let lost = 0;
  const requester = async () => {
    let channel = new Channel(host.front);
    while (performance.now() - startMs < trafficMs && !host.ended) {
      const id = newId(++sent);
      const wasKept = channel.served > 0;
      record.add('sent', {request: id, kept: wasKept});
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
      if (channel.closed) channel = new Channel(host.front);
    }
    channel.close();
  };
  await Promise.all([upload(), ...Array.from({length: clients}, requester)]);

  const end = host.ended
    ? `code ${host.ended.code}, signal ${host.ended.signal}, "${host.ended.error}"`
    : 'no';
  const result = `sent ${sent}; host ended by itself: ${end}; sound requests at sound engines, on kept channels, without an answer: ${lost}`;
  record.add('result', {text: result});
  console.log(result);
  await record.close();
  for (const engine of engines) engine.close();
  // RULES.md: "more than three times".
  return lost > 3 ? broken : held;
});
