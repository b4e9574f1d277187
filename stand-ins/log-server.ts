import type {IncomingMessage, ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import {
  HttpStandIn,
  readJson,
  sendJson,
  type ControlCommand,
} from './http-stand-in.js';
import {LogStore, type LogFaults} from './log-store.js';

/** Longest time that a read may wait for a record, in milliseconds. */
const maxWaitMs = 30_000;

/** Append-only log service over HTTP. */
export class LogServer extends HttpStandIn {
  readonly store = new LogStore();

  /** Faults; changes take effect at once. */
  get faults(): LogFaults {
    return this.store.faults;
  }

  protected override control(command: ControlCommand): unknown {
    const {do: name, ...rest} = command;
    if (name === 'faults') {
      Object.assign(this.faults, rest);
      return this.faults;
    }
    if (name === 'truncate') {
      this.store.truncate(String(rest['stream']), Number(rest['first']));
      return {done: name};
    }
    return undefined;
  }

  protected override async answer(
    req: IncomingMessage,
    res: ServerResponse,
    url: URL,
  ): Promise<void> {
    const match = /^\/streams\/([^/]+)\/records$/.exec(url.pathname);
    if (!match) return sendJson(res, 404, {error: 'unknown path'});
    const stream = decodeURIComponent(match[1]);
    const data = req.method === 'POST' ? await readJson(req) : undefined;
    if (this.faults.slowMs > 0) await wait(this.faults.slowMs, res);
    if (this.faults.down) return sendJson(res, 503, {error: 'down'});
    if (req.method === 'POST') return this.append(stream, data, res);
    return this.read(stream, url.searchParams, res);
  }

  private append(stream: string, data: unknown, res: ServerResponse): void {
    const outcome = this.store.append(stream, data, performance.now());
    if (outcome.kind === 'rate-limited') {
      const {retryAfterMs} = outcome;
      return sendJson(res, 429, {retryAfterMs});
    }
    if (outcome.answerLost) {
      res.destroy();
      return;
    }
    sendJson(res, 200, {offset: outcome.offset});
  }

  private async read(
    stream: string,
    query: URLSearchParams,
    res: ServerResponse,
  ): Promise<void> {
    const from = Number(query.get('from') ?? 0);
    const limit = Number(query.get('limit') ?? 500);
    const waitMs = Math.min(Number(query.get('waitMs') ?? 0), maxWaitMs);
    if (waitMs > 0 && this.store.isAtEnd(stream, from)) {
      await wait(waitMs, res, wake => this.store.onAppend(stream, wake));
      if (this.faults.down) return sendJson(res, 503, {error: 'down'});
    }
    const page = this.store.read(stream, from, limit);
    if (from < page.first) return sendJson(res, 410, {first: page.first});
    return sendJson(res, 200, page);
  }
}

/** Waits for a time, until the connection closes, or until `wake` is called. */
function wait(
  ms: number,
  res: ServerResponse,
  register: (wake: () => void) => () => void = () => () => {},
): Promise<void> {
  return new Promise(resolve => {
    const end = () => {
      clearTimeout(timer);
      unregister();
      res.off('close', end);
      resolve();
    };
    const timer = setTimeout(end, ms);
    const unregister = register(end);
    res.once('close', end);
  });
}
