import {request} from 'undici';
import type {CacheEvent, LoadReport} from '../../request/scheduler/types.js';

/** Reads what targets report of themselves; used by group owners only. */
export abstract class TargetStatusClient {
  /**
   * Reads the load report of a target.
   *
   * @param address - Base URL of the target.
   * @param signal - Aborted to give up.
   * @returns The report, or `undefined` if the target has none or did not answer.
   */
  abstract load(
    address: string,
    signal: AbortSignal,
  ): Promise<LoadReport | undefined>;

  /**
   * Reads the changes of a target's prefix cache until the stream ends.
   *
   * @param address - Base URL of the target.
   * @param onEvent - Receives each change.
   * @param signal - Aborted to end the stream.
   */
  abstract cacheEvents(
    address: string,
    onEvent: (event: CacheEvent) => void,
    signal: AbortSignal,
  ): Promise<void>;
}

/** Greatest size of a load report and of one cache event, in bytes. */
const maxBytes = 64 * 1024;

/** Time in which a target must answer, in milliseconds. */
const answerMs = 1000;

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
        headersTimeout: answerMs,
        bodyTimeout: answerMs,
      });
      if (res.statusCode !== 200) {
        await res.body.dump();
        return undefined;
      }
      let text = '';
      for await (const chunk of res.body) {
        text += chunk;
        if (text.length > maxBytes) return undefined;
      }
      return readReport(JSON.parse(text));
    } catch {
      // Without a report the scheduler relies on the attempts' own figures.
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
        headersTimeout: answerMs,
        bodyTimeout: 0,
      });
      if (res.statusCode !== 200) return await res.body.dump();
      let rest = '';
      for await (const chunk of res.body) {
        const lines = (rest + chunk).split('\n');
        rest = lines.pop() as string;
        if (rest.length > maxBytes) return;
        for (const line of lines) {
          const event = readEvent(line);
          if (event) onEvent(event);
        }
      }
    } catch {
      // The caller connects again; the gap in the sequence shows what was missed.
    }
  }
}

function readReport(value: unknown): LoadReport | undefined {
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

function readEvent(line: string): CacheEvent | undefined {
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
