import {randomUUID} from 'node:crypto';
import type {LogClient} from '../../connection/platform/log-client.js';
import {every, type Cancel, type Clock} from '../../process/clock.js';
import {FailureError} from '../../process/errors/catalogue.js';
import type {Logger} from '../../process/logger.js';
import type {MemberView} from '../../process/member-view.js';
import {findOwner} from '../../process/ownership.js';
import type {ConfigStore} from '../config-store.js';
import {encodeSnapshot, snapshotStream} from './snapshot-format.js';
import {SnapshotReader} from './snapshot-loader.js';

/** Number of new records from which a snapshot is due: about seven hours at 7,100 a day. */
const recordsPerSnapshot = 2000;

/** Dependencies of the snapshot writer. */
export interface SnapshotWriterParts {
  readonly log: LogClient;
  readonly store: ConfigStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly members: MemberView;
  /** Minimum retention of records in the log, in milliseconds. */
  readonly retentionMs: number;
}

/** Writes snapshots to the log well before the log truncates the records that they replace. */
export class SnapshotWriter {
  private cancel: Cancel = () => {};
  private running = false;
  private readonly reader: SnapshotReader;

  /**
   * @param parts - Dependencies, shared with the rest of the process.
   */
  constructor(private readonly parts: SnapshotWriterParts) {
    this.reader = new SnapshotReader(parts.log);
  }

  /** Starts periodic checks whether a snapshot is due. */
  start(): void {
    const {clock, retentionMs} = this.parts;
    this.cancel = every(clock, Math.min(60_000, retentionMs / 16), () => {
      void this.checkNow();
    });
  }

  /** Stops the periodic checks. */
  stop(): void {
    this.cancel();
  }

  /**
   * Writes a snapshot if one is due and this host is the chosen writer. If the log is unavailable, the
   * next check retries.
   *
   * @returns Whether a snapshot was written.
   */
  async checkNow(): Promise<boolean> {
    if (this.running || !this.isChosenWriter()) return false;
    this.running = true;
    try {
      return await this.writeIfDue();
    } catch (err) {
      // The next check retries; at least three further checks fit into the retention.
      if (err instanceof FailureError) return false;
      throw err;
    } finally {
      this.running = false;
    }
  }

  /** One live host is chosen by hashing, so that usually a single host writes. */
  private isChosenWriter(): boolean {
    const {members} = this.parts;
    const ids = members.live().map(member => member.id);
    return findOwner(snapshotStream, ids) === members.self.id;
  }

  private async writeIfDue(): Promise<boolean> {
    const {log, store, clock, retentionMs} = this.parts;
    const newest = (await this.reader.readNewest())?.[0];
    const {state} = store;
    if (state.offset === 0 || (newest && newest.offset > state.offset)) {
      return false;
    }
    const ageMs = newest ? clock.wallMs() - Date.parse(newest.time) : Infinity;
    const newRecords = state.offset - (newest?.offset ?? 0);
    // A snapshot is rewritten even without new records, because the log drops old snapshots too.
    if (newRecords < recordsPerSnapshot && ageMs < retentionMs / 4)
      return false;
    const time = new Date(clock.wallMs()).toISOString();
    const encoded = encodeSnapshot(state, randomUUID(), time);
    for (const part of encoded) await log.append(snapshotStream, part);
    this.parts.logger.event('configSnapshotWritten', {
      offset: state.offset,
      records: encoded.length,
    });
    return true;
  }
}
