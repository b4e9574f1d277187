import {request} from 'undici';
import type {CacheEvent, LoadReport} from '../../request/scheduler/types.js';

/** Reads the status that targets report. Only group owners use it. */
export abstract class TargetStatusClient {
  /**
   * Reads the load report of a target.
   *
   * @param address - Base URL of the target.
   * @param signal - Aborts the call.
   * @returns The report, or `undefined` if it is missing, malformed or could not be read.
   */
  abstract load(
    address: string,
    signal: AbortSignal,
  ): Promise<LoadReport | undefined>;

  /**
   * Reads the change events of a target's prefix cache until the stream ends or fails.
   *
   * @param address - Base URL of the target.
   * @param onEvent - Called with each valid event.
   * @param signal - Ends the stream.
   */
  abstract cacheEvents(
    address: string,
    onEvent: (event: CacheEvent) => void,
    signal: AbortSignal,
  ): Promise<void>;
}

/** Maximum size of a load report and of one cache event, in characters. */
const maxLength = 64 * 1024;

/** Timeout for a target's response, in milliseconds. */
const responseTimeoutMs = 1000;

const cacheOps = new Set(['stored', 'evicted', 'cleared']);

/** Target status over HTTP: `GET /load` and `GET /cache-events` (server-sent events). */
export class HttpTargetStatusClient extends TargetStatusClient {
  override async load(
    address: string,
    signal: AbortSignal,
  ): Promise<LoadReport | undefined> {
    try {
      const res = await request(`${address}/load`, {
        signal,
        headersTimeout: responseTimeoutMs,
        bodyTimeout: responseTimeoutMs,
      });
      if (res.statusCode !== 200) {
        await res.body.dump();
        return undefined;
      }
      let text = '';
      for await (const chunk of res.body) {
        text += chunk;
        if (text.length > maxLength) return undefined;
      }
      return parseReport(JSON.parse(text));
    } catch {
      // Without a report, the scheduler relies on its own measurements of the attempts.
      return undefined;
    }
  }

  override async cacheEvents(
    address: string,
    onEvent: (event: CacheEvent) => void,
    signal: AbortSignal,
  ): Promise<void> {
    try {
      const res = await request(`${address}/cache-events`, {
        signal,
        headersTimeout: responseTimeoutMs,
        bodyTimeout: 0,
      });
      if (res.statusCode !== 200) return await res.body.dump();
      let rest = '';
      for await (const chunk of res.body) {
        const lines = (rest + chunk).split('\n');
        rest = lines.pop() as string;
        if (rest.length > maxLength) return;
        for (const line of lines) {
          const event = parseEvent(line);
          if (event) onEvent(event);
        }
      }
    } catch {
      // The calling code reconnects and detects missed events by the gap in the sequence numbers.
    }
  }
}

function parseReport(value: unknown): LoadReport | undefined {
  const report = value as LoadReport | null;
  const numbers = [
    report?.running,
    report?.waiting,
    report?.ageMs,
    report?.cacheUse,
    report?.epoch,
  ];
  return numbers.every(number => Number.isFinite(number))
    ? (report as LoadReport)
    : undefined;
}

function parseEvent(line: string): CacheEvent | undefined {
  if (!line.startsWith('data:')) return undefined;
  try {
    const event = JSON.parse(line.slice('data:'.length)) as CacheEvent | null;
    const valid =
      event !== null &&
      cacheOps.has(event.op) &&
      Number.isInteger(event.sequence) &&
      Array.isArray(event.prefixes) &&
      event.prefixes.every(prefix => typeof prefix === 'string');
    return valid ? event : undefined;
  } catch {
    return undefined;
  }
}
