import {HttpStandIn, readJson, sendJson} from './http-stand-in.js';

/** Longest time that a read may wait for a record, in milliseconds. */
const maxWaitMs = 30_000;

interface StoredStream {
  readonly records: {offset: number; data: unknown}[];
  readonly waiters: Set<() => void>;
}

/** Append-only log service in memory. */
export class LogServer extends HttpStandIn {
  private readonly streams = new Map<string, StoredStream>();

  protected override async answer(
    req: import('node:http').IncomingMessage,
    res: import('node:http').ServerResponse,
    url: URL,
  ): Promise<void> {
    const match = /^\/streams\/([^/]+)\/records$/.exec(url.pathname);
    if (!match) return sendJson(res, 404, {error: 'unknown path'});
    const stream = this.stream(decodeURIComponent(match[1]));
    if (req.method === 'POST') {
      const offset = stream.records.length;
      stream.records.push({offset, data: await readJson(req)});
      for (const wake of [...stream.waiters]) wake();
      return sendJson(res, 200, {offset});
    }
    const from = Number(url.searchParams.get('from') ?? 0);
    const limit = Number(url.searchParams.get('limit') ?? 500);
    const waitMs = Number(url.searchParams.get('waitMs') ?? 0);
    if (from >= stream.records.length && waitMs > 0) {
      await waitForRecord(stream, Math.min(waitMs, maxWaitMs));
    }
    return sendJson(res, 200, {
      records: stream.records.slice(from, from + limit),
      first: 0,
      next: stream.records.length,
    });
  }

  private stream(name: string): StoredStream {
    let stream = this.streams.get(name);
    if (!stream) {
      stream = {records: [], waiters: new Set()};
      this.streams.set(name, stream);
    }
    return stream;
  }
}

function waitForRecord(stream: StoredStream, waitMs: number): Promise<void> {
  return new Promise(resolve => {
    const wake = () => {
      clearTimeout(timer);
      stream.waiters.delete(wake);
      resolve();
    };
    const timer = setTimeout(wake, waitMs);
    stream.waiters.add(wake);
  });
}
