import type {FeedRecord} from '../../connection/store/shared-store.js';
import type {TargetEntry} from './types.js';

/** A change of one target, as one host tells others. */
export interface TargetUpdate {
  /** Offset of the record. */
  readonly offset: number;
  readonly id: string;
  /** Entry of the target; absent if it was removed. */
  readonly entry?: TargetEntry;
  /** Time for which a removed target is still to be kept, because the store was away, in milliseconds. */
  readonly keepMs: number;
}

/** How far a host has followed the store. Ages are times since its state was known to be the store's. */
export interface FeedUpdate {
  /** Offset up to which orders are known; -1 if they were not read. */
  readonly orders: number;
  readonly ordersAgeMs: number;
  /** Offset up to which targets are known; -1 if they were not read. */
  readonly targets: number;
  readonly targetsAgeMs: number;
  /** Digest of the targets. */
  readonly digest: number;
  /** Latest changes of targets that the host has read from the store. */
  readonly changes: readonly TargetUpdate[];
}

/**
 * Time for which a change is told, in milliseconds. A host that misses one message learns of it from
 * the next one.
 */
const toldMs = 1200;
/** Changes in one message; more of them are read from the store. */
const maxChanges = 48;

interface Told {
  readonly atMs: number;
  readonly offset: number;
  readonly id: string;
  readonly entry?: TargetEntry;
  readonly keptUntilMs: number;
}

/** Changes that this host has read lately and tells others. */
export class RecentChanges {
  private told: Told[] = [];

  /**
   * Adds what a read has changed.
   *
   * @param records - Records that changed a target, or state that one is cold.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @param keptUntilMs - Until when the removed targets are kept; 0 for not at all.
   */
  add(
    records: readonly FeedRecord[],
    nowMs: number,
    keptUntilMs: (id: string) => number,
  ): void {
    for (const {offset, change} of records) {
      if (change.kind !== 'target') continue;
      const {id, entry} = change;
      const until = entry ? 0 : keptUntilMs(id);
      this.told.push({atMs: nowMs, offset, id, entry, keptUntilMs: until});
    }
  }

  /**
   * Lists what is to be told now.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  list(nowMs: number): TargetUpdate[] {
    this.told = this.told.filter(({atMs}) => nowMs - atMs <= toldMs);
    return this.told
      .slice(-maxChanges)
      .map(({atMs, offset, id, entry, keptUntilMs}) => ({
        offset,
        id,
        entry: entry && {
          ...entry,
          coldMs: Math.max(0, Math.round(entry.coldMs - (nowMs - atMs))),
        },
        keepMs: Math.max(0, Math.round(keptUntilMs - nowMs)),
      }));
  }
}
