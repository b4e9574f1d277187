import {connect, type Socket} from 'node:net';
import type {Random} from '../../stand-ins/seeded-random.js';

/** Longest life of an abnormal connection, in milliseconds. */
const maxLifeMs = 8000;
/** More than the 4 MiB that a host reads. */
const oversizedBytes = 5_000_000;

/** A host and a key to misuse. */
export interface AbnormalTarget {
  readonly port: number;
  readonly token: string;
  readonly model: string;
  readonly operatorToken: string;
}

type Scenario = (
  socket: Socket,
  target: AbnormalTarget,
  random: Random,
) => void;

/** What faulty callers do, by name. */
const scenarios: Readonly<Record<string, Scenario>> = {
  'connect-only': () => {},
  'half-header': socket => void socket.write('POST /v1/chat/completions HTT'),
  garbage: (socket, _, random) =>
    void socket.write(
      Buffer.from(Array.from({length: 200}, () => Math.floor(random() * 256))),
    ),
  'huge-header': (socket, target) =>
    void socket.write(`${head(target, 10)}X-Large: ${'x'.repeat(40_000)}`),
  'no-key': socket =>
    void socket.write(
      'POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}',
    ),
  'bad-json': (socket, target) =>
    void socket.write(`${head(target, 9)}\r\n{"model":`),
  'oversized-length': (socket, target) =>
    void socket.write(`${head(target, oversizedBytes)}\r\n{"model":`),
  'oversized-chunked': (socket, target) => {
    const chunk = 'x'.repeat(65_536);
    socket.write(`${head(target)}Transfer-Encoding: chunked\r\n\r\n`);
    for (let sent = 0; sent < oversizedBytes; sent += chunk.length) {
      socket.write(`${chunk.length.toString(16)}\r\n${chunk}\r\n`);
    }
  },
  'slow-body': (socket, target) => {
    const body = completion(target, 20);
    socket.write(`${head(target, body.length)}\r\n`);
    let sent = 0;
    const timer = setInterval(() => {
      socket.write(body.slice(sent, sent + 10));
      sent += 10;
      if (sent >= body.length) clearInterval(timer);
    }, 100);
    socket.once('close', () => clearInterval(timer));
  },
  'slow-reader': (socket, target) => {
    socket.pause();
    const body = completion(target, 300);
    socket.write(`${head(target, body.length)}\r\n${body}`);
  },
  pipelined: (socket, target) => {
    const body = completion(target, 5);
    socket.write(`${head(target, body.length)}\r\n${body}`.repeat(20));
  },
  'abort-stream': (socket, target) => {
    const body = completion(target, 200);
    socket.write(`${head(target, body.length)}\r\n${body}`);
    socket.once('data', () => socket.resetAndDestroy());
  },
  watch: (socket, {operatorToken}) =>
    void socket.write(
      `GET /api/v1/target?watch=1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ${operatorToken}\r\n\r\n`,
    ),
};

const names = Object.keys(scenarios);

/**
 * Opens one abnormal connection, which is destroyed after some seconds at most.
 *
 * @param target - Host and key.
 * @param random - Source of random numbers.
 * @returns Name of the scenario, and a promise of the connection's end.
 */
export function callAbnormally(
  target: AbnormalTarget,
  random: Random,
): {name: string; ended: Promise<void>} {
  const name = names[Math.floor(random() * names.length)];
  const lifeMs = (0.1 + 0.9 * random()) * maxLifeMs;
  const ended = new Promise<void>(resolve => {
    const socket = connect(target.port, '127.0.0.1');
    const timer = setTimeout(() => socket.destroy(), lifeMs);
    socket.on('error', () => {});
    socket.once('close', () => {
      clearTimeout(timer);
      resolve();
    });
    socket.once('connect', () => {
      socket.resume();
      scenarios[name](socket, target, random);
    });
  });
  return {name, ended};
}

function head({token}: AbnormalTarget, length?: number): string {
  const lines = [
    'POST /v1/chat/completions HTTP/1.1',
    'Host: h',
    `Authorization: Bearer ${token}`,
    'Content-Type: application/json',
  ];
  if (length !== undefined) lines.push(`Content-Length: ${length}`);
  return `${lines.join('\r\n')}\r\n`;
}

function completion({model}: AbnormalTarget, tokens: number): string {
  return JSON.stringify({
    model,
    stream: true,
    max_tokens: tokens,
    messages: [{role: 'user', content: 'Abnormal caller.'}],
  });
}
