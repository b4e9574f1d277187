import type {IncomingMessage, ServerResponse} from 'node:http';
import type {TestContext} from 'node:test';
import {CallerServer} from '../../../src/connection/caller/caller-server.js';
import {HealthHandler} from '../../../src/connection/caller/health-handler.js';
import {readBody} from '../../../src/connection/caller/request-body.js';
import type {CallerMemory} from '../../../src/connection/http/caller-memory.js';
import {createEntryMemory} from '../../../src/connection/http/create-caller-memory.js';
import {RouteHandler} from '../../../src/connection/caller/route-handler.js';
import {UnknownPathHandler} from '../../../src/connection/caller/unknown-path-handler.js';
import {SystemClock} from '../../../src/process/clock.js';
import {Logger} from '../../../src/process/logger.js';
import {Metrics} from '../../../src/process/metrics.js';
import {checkSettings} from '../../../src/process/settings.js';

/** Makes a request that never gets a response fail its own test. */
export const hangGuard = {timeout: 30_000};

/** Keeps the requests for `/test` open until the test answers them. */
export class TestHandler extends RouteHandler {
  constructor(private readonly memory: CallerMemory) {
    super();
  }

  readonly serving: {req: IncomingMessage; res: ServerResponse}[] = [];
  arrived: () => void = () => {};
  /** Lets the request with the header `x-fault: late` fail. */
  failLate: () => void = () => {};

  override matches(path: string): boolean {
    return path === '/test';
  }

  override async handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    if (req.headers['x-fault'] === 'late') {
      await new Promise<void>(resolve => (this.failLate = resolve));
    }
    if (req.headers['x-fault']) throw new Error('programming error');
    await readBody(req, 1024, this.memory);
    this.serving.push({req, res});
    this.arrived();
  }
}

/** Starts a server with a {@link TestHandler}. */
export async function startServer(t: TestContext, callers = {}) {
  const cfg = checkSettings({
    host: 'h',
    fleet: 'f',
    zone: 'a',
    region: 'r',
    callers: {address: '127.0.0.1', port: 0, ...callers},
    peers: {address: '127.0.0.1', port: 0, tls: {mode: 'plain'}},
    platform: {logUrl: 'http://127.0.0.1:1'},
  }).callers;
  const metrics = new Metrics();
  const logger = Logger.create('silent');
  const clock = new SystemClock();
  const memory = createEntryMemory(cfg, {clock, metrics, logger});
  const handler = new TestHandler(memory);
  const server = new CallerServer(
    cfg,
    {clock, logger, metrics},
    [new HealthHandler(metrics, () => true), handler],
    new UnknownPathHandler(metrics),
  );
  const port = await server.listen();
  t.after(() => server.close(0));
  const arrival = () => new Promise<void>(r => (handler.arrived = r));
  return {server, port, handler, metrics, arrival};
}
