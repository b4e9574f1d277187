import type {LogClient} from '../../connection/platform/log-client.js';
import {FailureError} from '../../process/errors/catalogue.js';
import type {ConfigState} from '../config-state.js';
import {
  decodeSnapshot,
  SnapshotAssembler,
  snapshotStream,
  type SnapshotPart,
} from './snapshot-format.js';

/** Fetches snapshots from other hosts while the log is unavailable. */
export abstract class PeerSnapshots {
  /**
   * Fetches the configuration of another host.
   *
   * @returns Parts as returned by {@link encodeSnapshot}, or `undefined` if no host responded.
   */
  abstract fetch(): Promise<readonly SnapshotPart[] | undefined>;
}

/** Finds the newest snapshot in the log; later calls read only records appended since. */
export class SnapshotReader {
  private readonly assembler = new SnapshotAssembler();
  /** Offset of the next record to read. */
  private from = 0;

  /**
   * @param log - Client of the log service.
   */
  constructor(private readonly log: LogClient) {}

  /**
   * Reads up to the end of the snapshot stream.
   *
   * @returns Parts of the newest complete snapshot, or `undefined` if there is none.
   * @throws {@link FailureError} of kind `log-unavailable`.
   */
  async readNewest(): Promise<readonly SnapshotPart[] | undefined> {
    for (;;) {
      try {
        const page = await this.log.read(snapshotStream, this.from, {
          limit: 16,
        });
        for (const {offset, data} of page.records) {
          this.assembler.add(data);
          this.from = offset + 1;
        }
        if (page.records.length === 0 || this.from >= page.next) break;
      } catch (err) {
        const failure = err instanceof FailureError ? err.failure : undefined;
        if (failure?.kind !== 'log-truncated' || failure.first <= this.from) {
          throw err;
        }
        this.from = failure.first;
      }
    }
    return this.assembler.newest;
  }
}

/** A state from which a host can start. */
export interface InitialState {
  readonly state: ConfigState;
  readonly source: 'log' | 'peer';
}

/**
 * Loads the state from which a host starts: from the log or, if it has none or is unavailable, from a
 * peer.
 *
 * @param log - Client of the log service.
 * @param peers - Other hosts, if any.
 * @returns The state and its source, or `undefined` if neither has a snapshot.
 */
export async function loadInitialState(
  log: LogClient,
  peers: PeerSnapshots | undefined,
): Promise<InitialState | undefined> {
  try {
    const parts = await new SnapshotReader(log).readNewest();
    if (parts) return {state: decodeSnapshot(parts), source: 'log'};
  } catch (err) {
    if (!(err instanceof FailureError)) throw err;
  }
  const parts = await peers?.fetch();
  return parts && {state: decodeSnapshot(parts), source: 'peer'};
}
