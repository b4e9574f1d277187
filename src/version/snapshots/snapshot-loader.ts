import type {LogClient} from '../../connection/platform/log-client.js';
import {FailureError} from '../../process/errors/catalogue.js';
import type {ConfigState} from '../config-state.js';
import {
  decodeSnapshot,
  SnapshotAssembler,
  snapshotStream,
  type SnapshotPart,
} from './snapshot-format.js';

/** Source of snapshots at other hosts, used while the log is down. */
export abstract class PeerSnapshots {
  /**
   * Asks another host for its configuration.
   *
   * @returns Parts as made by {@link encodeSnapshot}, or `undefined` if no host answered.
   */
  abstract fetch(): Promise<readonly SnapshotPart[] | undefined>;
}

/** Finds the newest snapshot in the log; later calls read only what was added since. */
export class SnapshotReader {
  private readonly found = new SnapshotAssembler();
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
          this.found.add(data);
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
    return this.found.newest;
  }
}

/** A state from which a host can start. */
export interface InitialState {
  readonly state: ConfigState;
  readonly source: 'log' | 'peer';
}

/**
 * Finds a state from which a host can start: in the log or, if the log is down, at a peer.
 *
 * @param log - Client of the log service.
 * @param peers - Other hosts, if any.
 * @returns The newest state found, or `undefined`.
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
