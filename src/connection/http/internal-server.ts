import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {SystemClock, type Clock} from '../../process/clock.js';
import {longestIdle} from './connection-limit.js';
import {InputPacer} from './input-pacer.js';
import {PacedInput} from './paced-input.js';
import {lingerAtEnd} from './unread-input.js';

/** Maximum number of open connections of an internal server. */
const maxConnections = 128;
/** Maximum time for the headers of a request, in milliseconds. */
const headersTimeoutMs = 2000;
/** Maximum time for a whole request, in milliseconds. */
const requestTimeoutMs = 3000;
/** Interval of the check for connections that exceed these, in milliseconds. */
const timeoutCheckIntervalMs = 500;
/** Time without traffic after which a connection is closed, also within a response, in milliseconds. */
const inactivityTimeoutMs = 5000;

/** A connection of an internal server. */
interface InternalConnection {
  readonly input: PacedInput;
  /** Time since which no request is in progress, in milliseconds. */
  idleSinceMs: number;
  isBusy: boolean;
}

/**
 * Creates an HTTP server for load balancers, monitoring and other hosts. They send one request after the other, without a
 * body: a request with a body is the last one of its connection, and so is one that others follow ahead of its response.
 *
 * @param onRequest - Answers a request.
 * @param clock - Measures how long connections are idle.
 * @returns The server, which does not listen yet.
 */
export function createInternalServer(
  onRequest: (req: IncomingMessage, res: ServerResponse) => void,
  clock: Clock = new SystemClock(),
): Server {
  const connections = new Map<Socket, InternalConnection>();
  const pacer = new InputPacer(clock);
  const server = createServer({
    headersTimeout: headersTimeoutMs,
    requestTimeout: requestTimeoutMs,
    connectionsCheckingInterval: timeoutCheckIntervalMs,
  });
  server.timeout = inactivityTimeoutMs;
  server.on('connection', (socket: Socket) => {
    if (connections.size >= maxConnections) {
      const entries = [...connections].map(
        ([other, {isBusy, idleSinceMs}]) =>
          [other, isBusy ? undefined : idleSinceMs] as const,
      );
      const replaced = longestIdle(entries) ?? socket;
      replaced.destroy();
      connections.delete(replaced);
      if (replaced === socket) return;
    }
    const input = new PacedInput(socket, pacer, {
      onRejected: () => socket.destroy(),
    });
    lingerAtEnd(socket, input, clock);
    const idleSinceMs = clock.nowMs();
    connections.set(socket, {input, idleSinceMs, isBusy: false});
    socket.once('close', () => connections.delete(socket));
  });
  server.on('request', (req, res) => {
    const connection = connections.get(req.socket);
    if (!connection || connection.isBusy || !req.socket.writable) {
      connection?.input.drop();
      return;
    }
    connection.isBusy = true;
    res.once('close', () => {
      connection.isBusy = false;
      connection.idleSinceMs = clock.nowMs();
      if (connection.input.isDropping) req.socket.destroySoon();
    });
    if (hasBody(req)) res.setHeader('connection', 'close');
    connection.input.handle(req, () => onRequest(req, res));
  });
  return server;
}

function hasBody({headers}: IncomingMessage): boolean {
  if (headers['transfer-encoding'] !== undefined) return true;
  return Number(headers['content-length'] ?? 0) > 0;
}
