import {randomUUID} from 'node:crypto';
import type {LogClient} from '../connection/platform/log-client.js';
import type {Clock} from '../process/clock.js';
import {FailureError} from '../process/errors/catalogue.js';
import {subscribe} from '../process/subject.js';
import type {ConfigRecord, RecentWrite} from './config-state.js';
import {configStream, type ConfigStore} from './config-store.js';
import type {FieldError} from './resources/check-spec.js';

/** Result of a write. */
export type WriteResult =
  | {kind: 'accepted'; writeId: string; generation: number; offset: number}
  | {kind: 'conflict'; writeId: string; expected: number; actual: number}
  | {kind: 'invalid'; writeId: string; errors: readonly FieldError[]}
  | {
      kind: 'unavailable';
      writeId: string;
      /** `unknown` if the record may be in the log or may still arrive there. */
      accepted: 'no' | 'unknown';
    };

/** Dependencies of the writer. */
export interface ConfigWriterParts {
  readonly log: LogClient;
  readonly store: ConfigStore;
  readonly clock: Clock;
  /** Returns a uniform random number in 0..1, for the jitter of retries. */
  readonly random: () => number;
  /** Whether the last read of the log succeeded; otherwise a write is not attempted. */
  readonly logUp?: () => boolean;
}

/** Timeout after which a write is reported as unavailable, in milliseconds. */
const writeTimeoutMs = 5000;
/** Timeout of {@link ConfigWriter.refresh}, in milliseconds. */
const refreshTimeoutMs = 1000;
/** Initial maximum of the delay between two attempts, in milliseconds; it doubles. */
const firstDelayMs = 50;
/** Limit to which the maximum delay doubles, in milliseconds. */
const lastDelayMs = 1000;

/** Appends configuration records; reports `accepted` only after the record was read back. */
export class ConfigWriter {
  /**
   * @param parts - Dependencies, shared with the rest of the process.
   */
  constructor(private readonly parts: ConfigWriterParts) {}

  /**
   * Writes one record.
   *
   * @param write - Record; `writeId` is generated if absent, and given to retry an earlier write.
   * @returns Result of the write.
   */
  async write(
    write: Omit<ConfigRecord, 'writeId'> & {writeId?: string},
  ): Promise<WriteResult> {
    const {clock, store, random} = this.parts;
    const record = {...write, writeId: write.writeId ?? randomUUID()};
    const {writeId} = record;
    const endMs = clock.nowMs() + writeTimeoutMs;
    let maybeAppended = false;
    for (let attempt = 0; clock.nowMs() < endMs; attempt++) {
      const known = store.state.recentWrites.get(writeId);
      if (known) return toWriteResult(writeId, known);
      if (!maybeAppended && this.parts.logUp?.() === false) break;
      const tried = await this.tryAppend(record);
      if (tried.kind !== 'limited') maybeAppended = true;
      if (tried.kind === 'appended') {
        await this.readUpTo(tried.offset + 1, endMs);
        break;
      }
      const delayMs = Math.min(lastDelayMs, firstDelayMs * 2 ** attempt);
      const waitMs =
        tried.kind === 'limited' ? tried.retryAfterMs + delayMs : delayMs;
      await this.sleep(Math.min(waitMs * random(), endMs - clock.nowMs()));
      // Before a retry the store must read everything that the log held after the failed append.
      // A record that arrives even later is folded as a duplicate of the retried one.
      if (tried.kind === 'lost' && !(await this.catchUp(endMs))) break;
    }
    const known = store.state.recentWrites.get(writeId);
    if (known) return toWriteResult(writeId, known);
    const accepted = maybeAppended ? 'unknown' : 'no';
    return {kind: 'unavailable', writeId, accepted};
  }

  /**
   * Reads the log up to its current end.
   *
   * @returns Whether the store has folded all records that the log held.
   */
  refresh(): Promise<boolean> {
    if (this.parts.logUp?.() === false) return Promise.resolve(false);
    return this.catchUp(this.parts.clock.nowMs() + refreshTimeoutMs);
  }

  private async tryAppend(
    record: ConfigRecord,
  ): Promise<
    | {kind: 'appended'; offset: number}
    | {kind: 'limited'; retryAfterMs: number}
    | {kind: 'lost'}
  > {
    try {
      const offset = await this.parts.log.append(configStream, record);
      return {kind: 'appended', offset};
    } catch (err) {
      if (!(err instanceof FailureError)) throw err;
      if (err.failure.kind === 'log-rate-limited') {
        return {kind: 'limited', retryAfterMs: err.failure.retryAfterMs};
      }
      return {kind: 'lost'};
    }
  }

  /** Reads the log up to its current end; false if this fails until `endMs`. */
  private async catchUp(endMs: number): Promise<boolean> {
    const {log, store, clock, random} = this.parts;
    for (let attempt = 0; clock.nowMs() < endMs; attempt++) {
      try {
        const from = store.state.offset;
        const page = await log.read(configStream, from, {limit: 500});
        store.post({kind: 'records', records: page.records});
        if (store.state.offset >= page.next) return true;
        if (store.state.offset > from) continue;
      } catch (err) {
        if (!(err instanceof FailureError)) throw err;
      }
      const delayMs = Math.min(lastDelayMs, firstDelayMs * 2 ** attempt);
      await this.sleep(Math.min(delayMs * random(), endMs - clock.nowMs()));
    }
    return false;
  }

  /** Waits until the store has folded all records below an offset, or until `endMs`. */
  private readUpTo(offset: number, endMs: number): Promise<void> {
    const {store, clock} = this.parts;
    if (store.state.offset >= offset) return Promise.resolve();
    return new Promise(resolve => {
      const done = () => {
        cancel();
        for (const stop of stops) stop();
        resolve();
      };
      const check = () => {
        if (store.state.offset >= offset) done();
      };
      const cancel = clock.after(Math.max(0, endMs - clock.nowMs()), done);
      const stops = [
        subscribe(store.changes, check),
        subscribe(store.installed, check),
      ];
    });
  }

  private sleep(ms: number): Promise<void> {
    return new Promise(resolve => {
      this.parts.clock.after(Math.max(1, ms), resolve);
    });
  }
}

/**
 * Converts the folded outcome of a write.
 *
 * @param writeId - Id of the write.
 * @param known - Outcome and offset as folded.
 * @returns The result for the writer.
 */
export function toWriteResult(
  writeId: string,
  {offset, outcome}: RecentWrite,
): WriteResult {
  switch (outcome.kind) {
    case 'accepted':
      return {...outcome, writeId, offset};
    case 'conflict':
      return {...outcome, writeId};
    case 'invalid':
      return {...outcome, writeId};
    default:
      throw new Error('outcome of a recent write must not be duplicate');
  }
}
