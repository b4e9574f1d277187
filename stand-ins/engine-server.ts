import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  loadPrefixHasher,
  prefixBlockChars,
  type PrefixHasher,
} from '../src/request/prefix-hashes.js';
import {EngineAnswer} from './engine-answer.js';
import {EngineDriver} from './engine-driver.js';
import {EngineExecution} from './engine-execution.js';
import {
  defaultEngineModelCfg,
  EngineModel,
  type EngineEvent,
  type EngineFault,
  type EngineModelCfg,
} from './engine-model.js';
import {EngineOrders, type EngineOrderBody} from './engine-orders.js';
import {EngineRoom, type Brittleness} from './engine-room.js';
import {
  HttpStandIn,
  readBody,
  readJson,
  sendJson,
  type ControlCommand,
} from './http-stand-in.js';
import {seededRandom} from './seeded-random.js';

/** Tokens in a prefix block of the hosts, at their estimate of 4 characters for a token. */
const blockTokens = prefixBlockChars / 4;
/** Number of ended executions whose answers can still be replayed. */
const keptAnswers = 1000;

/** Properties of an engine stand-in. */
export interface EngineServerOptions {
  /** Deviations from an engine of today's size that is already warm. */
  readonly model?: Partial<EngineModelCfg>;
  /** Model time per time of the machine. */
  readonly speedFactor?: number;
  readonly seed?: number;
  /** Time for which an execution goes on without a connection, in milliseconds of the model. */
  readonly keepMs?: number;
  /** Whether orders with an old fencing number are refused. */
  readonly checksFencing?: boolean;
  /** Requests that it runs concurrently; without a limit of their number if absent. */
  readonly slots?: number;
  /** Requests that it lets wait beyond those. */
  readonly maxWaiting?: number;
  /** Whether rejections make it fail. */
  readonly brittleness?: Brittleness;
  /** Duration of a load, in milliseconds of the model. */
  readonly loadMs?: number;
  /** Name of the service or model that the engine offers. */
  readonly modelName?: string;
  readonly version?: string;
  /** Faults of versions, by version; they take effect when the version is loaded. */
  readonly versionFaults?: Readonly<Record<string, EngineFault>>;
}

/** Model engine in the OpenAI form, driven by {@link EngineModel}. */
export class EngineServer extends HttpStandIn {
  /** Every execution, in order. */
  readonly executions: EngineExecution[] = [];
  readonly model: EngineModel;
  readonly orders: EngineOrders;
  /** Room for requests; absent if their number is not limited. */
  readonly room?: EngineRoom;
  private readonly cfg: EngineModelCfg;
  private readonly driver: EngineDriver;
  private readonly byId = new Map<string, EngineExecution>();
  private readonly active = new Set<EngineExecution>();
  private readonly cacheReaders = new Set<ServerResponse>();
  private hashPrefixes: PrefixHasher = () => [];
  private listening = false;
  private starting = false;
  private closed = false;

  /**
   * @param options - Properties of the engine.
   */
  constructor(private readonly options: EngineServerOptions = {}) {
    super();
    this.cfg = {
      ...defaultEngineModelCfg,
      startsCold: false,
      blockTokens,
      ...options.model,
    };
    if (options.slots !== undefined) {
      const {slots, maxWaiting = slots, brittleness} = options;
      this.room = new EngineRoom(slots, maxWaiting, brittleness);
    }
    this.model = new EngineModel(this.cfg, seededRandom(options.seed ?? 1));
    this.orders = new EngineOrders({
      checksFencing: options.checksFencing ?? true,
      loadMs: options.loadMs ?? 2000,
      model: options.modelName ?? 'model',
      version: options.version ?? 'v1',
    });
    this.driver = new EngineDriver(
      this.model,
      options.speedFactor ?? 1,
      nowMs => this.advance(nowMs),
    );
  }

  /** Whether the engine accepts connections. */
  get isListening(): boolean {
    return this.listening;
  }

  override async listen(port = 0): Promise<void> {
    this.hashPrefixes = await loadPrefixHasher();
    await super.listen(port);
    this.listening = true;
  }

  override async close(): Promise<void> {
    this.closed = true;
    this.driver.stop();
    if (this.listening) await super.close();
    this.listening = false;
  }

  /** Crashes the engine; it listens again when the model restarts. */
  crash(): void {
    this.model.crashNow(this.driver.nowMs);
    this.changed();
  }

  /** Makes the engine cold. */
  goCold(): void {
    this.model.goCold(this.driver.nowMs);
    this.changed();
  }

  /** Breaks the connection of every running execution. */
  breakStreams(): void {
    for (const execution of this.active) execution.breakConnections();
  }

  protected override control(command: ControlCommand): unknown {
    const {do: name, ...rest} = command;
    if (name === 'executions') {
      return this.executions.map(
        ({id, path, state, bodySha256, answerSha256}) => ({
          id,
          path,
          state,
          bodySha256,
          answerSha256,
        }),
      );
    }
    if (name === 'fault') {
      const fault = Object.keys(rest).length > 0 ? rest : undefined;
      this.model.setFault(fault as EngineFault | undefined);
    } else if (name === 'slow') this.model.setSlowdown(Number(rest['factor']));
    else if (name === 'crash') {
      // The connection of this command breaks too, so its answer goes first.
      setImmediate(() => this.crash());
    } else if (name === 'break-streams') this.breakStreams();
    else if (name === 'go-cold') this.goCold();
    else if (name === 'brittle' && this.room) {
      const isBrittle = rest['rejectionsPerSecond'] !== undefined;
      this.room.brittleness = isBrittle
        ? (rest as unknown as Brittleness)
        : undefined;
    } else return undefined;
    return {done: name};
  }

  protected override async answer(
    req: IncomingMessage,
    res: ServerResponse,
    url: URL,
  ): Promise<void> {
    const nowMs = this.driver.nowMs;
    const path = url.pathname;
    const endured = this.room?.brittleness?.rejectionsPerSecond;
    if (endured !== undefined) res.setHeader('server-brittle', endured);
    if (path === '/v1/chat/completions' || path === '/v1/completions') {
      return this.complete(req, res, path);
    }
    if (path === '/load') {
      return sendJson(res, 200, this.model.loadReport(nowMs));
    }
    if (path === '/cache-events') return this.followCache(res);
    if (path === '/orders') return this.order(req, res);
    const match = /^\/requests\/([^/]+)\/(stream|cancel)$/.exec(path);
    const execution = match && this.byId.get(decodeURIComponent(match[1]));
    if (!execution) return sendJson(res, 404, {error: 'unknown path or id'});
    if (match[2] === 'stream') {
      const after = Number(url.searchParams.get('after') ?? 0);
      return this.attach(execution, res, after);
    }
    if (execution.state === 'running') {
      this.cancel(execution);
      this.changed();
    }
    return sendJson(res, 200, {state: execution.state});
  }

  private async complete(
    req: IncomingMessage,
    res: ServerResponse,
    path: string,
  ): Promise<void> {
    const body = await readBody(req);
    let answer: EngineAnswer;
    try {
      answer = new EngineAnswer(path, body);
    } catch {
      return sendJson(res, 400, {error: {type: 'malformed'}});
    }
    const id = String(req.headers['x-request-id'] ?? randomUUID());
    if (this.byId.get(id)?.state === 'running') {
      return sendJson(res, 409, {error: {type: 'id-in-use'}});
    }
    if (this.room && !this.room.hasRoom(this.model.inFlight)) {
      return this.turnAway(res, id, this.room);
    }
    const execution = new EngineExecution(id, path, answer);
    const request = answer.toModel(
      id,
      path,
      this.hashPrefixes,
      this.options.modelName,
    );
    // A restarting engine does not listen; this connection was accepted just before the crash.
    if (!this.model.submit(request, this.driver.nowMs)) {
      res.destroy();
      return;
    }
    this.executions.push(execution);
    this.byId.delete(id);
    this.byId.set(id, execution);
    this.active.add(execution);
    this.attach(execution, res, 0);
    this.forgetOld();
    this.changed();
  }

  private turnAway(res: ServerResponse, id: string, room: EngineRoom): void {
    res.setHeader('x-request-id', id);
    res.setHeader('x-not-executed', '1');
    sendJson(res, 503, {error: {type: 'full'}});
    if (room.reject(this.driver.nowMs)) this.crash();
  }

  private attach(
    execution: EngineExecution,
    res: ServerResponse,
    after: number,
  ): void {
    res.once('close', () => execution.detach(res, this.driver.nowMs));
    execution.attach(res, after);
  }

  private followCache(res: ServerResponse): void {
    res.writeHead(200, {'content-type': 'text/event-stream'});
    res.flushHeaders();
    this.cacheReaders.add(res);
    res.once('close', () => this.cacheReaders.delete(res));
  }

  private async order(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    if (req.method === 'GET') return sendJson(res, 200, this.orders.state);
    const body = (await readJson(req)) as EngineOrderBody;
    const outcome = this.orders.submit(body, this.driver.nowMs);
    if (outcome.kind === 'accepted') {
      return sendJson(res, 202, this.orders.state);
    }
    const status = {'old-fencing': 409, loading: 503, malformed: 400};
    const retryAfterMs =
      outcome.kind === 'loading'
        ? Math.ceil(outcome.retryAfterMs / (this.options.speedFactor ?? 1))
        : undefined;
    return sendJson(res, status[outcome.kind], {...outcome, retryAfterMs});
  }

  /** Carries out what is due and passes the model's events on. */
  private advance(nowMs: number): void {
    const loaded = this.orders.finishLoad(nowMs);
    if (loaded) {
      this.model.goCold(nowMs);
      if (loaded.order === 'load-version') {
        this.model.setFault(this.options.versionFaults?.[loaded.value]);
      }
    }
    for (const event of this.model.advance(nowMs)) this.apply(event);
    for (const event of this.model.cacheEvents(nowMs)) {
      const text = `data: ${JSON.stringify(event)}\n\n`;
      for (const res of this.cacheReaders) res.write(text);
    }
    const keepMs = this.options.keepMs ?? 2000;
    for (const execution of this.active) {
      const since = execution.unattachedSinceMs;
      if (since !== undefined && nowMs - since > keepMs) this.cancel(execution);
    }
    if (this.model.isUp && !this.listening && !this.closed) this.comeUp();
  }

  private apply(event: EngineEvent): void {
    if (event.kind === 'crashed') return this.goDown();
    const execution = this.byId.get(event.id);
    if (!execution) return;
    if (event.kind === 'firstToken') {
      execution.cachedTokens = event.cachedTokens;
    } else if (event.kind === 'token') execution.addTokens(event.count);
    else if (event.kind === 'finished') execution.finish();
    else execution.fail('failed', event.reason);
    if (execution.state !== 'running') this.active.delete(execution);
  }

  private cancel(execution: EngineExecution): void {
    this.model.cancel(execution.id, this.driver.nowMs);
    execution.fail('cancelled', 'cancelled');
    this.active.delete(execution);
  }

  private goDown(): void {
    if (!this.listening) return;
    this.listening = false;
    void this.suspend();
  }

  private comeUp(): void {
    if (this.starting) return;
    this.starting = true;
    // A failure to listen is tried again when the model is next advanced.
    void this.resume()
      .catch(() => {})
      .finally(() => {
        this.starting = false;
        if (this.closed) void super.close();
      });
  }

  private changed(): void {
    this.advance(this.driver.nowMs);
    this.driver.schedule();
  }

  private forgetOld(): void {
    if (this.byId.size <= keptAnswers) return;
    for (const [id, execution] of this.byId) {
      if (execution.state === 'running') continue;
      this.byId.delete(id);
      execution.dropAnswer();
      return;
    }
  }
}
