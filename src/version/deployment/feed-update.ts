import type {FeedRecord} from '../../connection/store/shared-store.js';
import type {TargetEntry} from './types.js';

/** A change of one target, as hosts exchange it. */
export interface TargetUpdate {
  /** Offset of the record in the log of targets. */
  readonly offset: number;
  readonly id: string;
  /** Entry of the target; absent if it was removed. */
  readonly entry?: TargetEntry;
  /** Time for which a removed target is kept because of an outage of the store, in milliseconds; 0 for none. */
  readonly keepMs: number;
}

/** Time for which a target is cold, without the rest of its entry. */
export type ColdTime = Pick<TargetEntry, 'id' | 'bornMs' | 'coldMs'>;

/**
 * Maximum age in an update, in milliseconds; also stated for a log that was never read. JSON has no infinite
 * numbers, and reads them as null.
 */
export const maxAgeMs = 1_000_000;

/**
 * Rounds an age up to a whole number that an update can state.
 *
 * @param ms - Age in milliseconds, possibly infinite.
 */
export function roundAgeMs(ms: number): number {
  return Math.min(maxAgeMs, Math.ceil(ms));
}

/**
 * How far a host has followed the logs of the store. An age is the time since the host was last known to be
 * up to date, in milliseconds, up to {@link maxAgeMs}.
 */
export interface FeedUpdate {
  /** Offset up to which orders are known; -1 if they were not read. */
  readonly orders: number;
  readonly ordersAgeMs: number;
  /** Wall-clock time of the read on which `ordersAgeMs` is based, by the reader's clock, in milliseconds; 0 for none. */
  readonly ordersReadAtMs: number;
  /** Version of the configuration in force; 0 if none is known. */
  readonly configuration: number;
  /** Offset up to which targets are known; -1 if they were not read. */
  readonly targets: number;
  readonly targetsAgeMs: number;
  /** The same as `ordersReadAtMs` for targets. */
  readonly targetsReadAtMs: number;
  /** Digest of the listed targets; equal on hosts that know the same ones. */
  readonly digest: number;
  /** Recent changes of targets that the host has read from the store, oldest first. */
  readonly changes: readonly TargetUpdate[];
  /** Cold targets that `changes` leaves out. Absent in messages of hosts that run an older version. */
  readonly coldTimes?: readonly ColdTime[];
}

/**
 * Time for which each message repeats a change, in milliseconds, so that a host which misses one message
 * gets the change from the next.
 */
const announceMs = 1200;
/** Maximum number of changes in one message; hosts that miss older ones read the store. */
const maxChanges = 48;
/** Maximum number of cold times in one message, besides those of changes. */
const maxColdTimes = 256;

interface AnnouncedChange {
  /** Whether the state changed, so that hosts which lack the entry differ; otherwise only the cold time counts. */
  readonly isChange: boolean;
  readonly atMs: number;
  readonly offset: number;
  readonly id: string;
  readonly entry?: TargetEntry;
  readonly keptUntilMs: number;
}

/**
 * Computes the cold time to state in a copy of an entry. It never falls to 0: an entry that states a cold time differs
 * from one without, also after that time has passed, and hosts compare their entries.
 *
 * @param entry - Entry as written by the target.
 * @param leftMs - What is left of the longest cold time that is known, in milliseconds; negative after its end.
 */
export function statedColdMs(
  {coldMs}: Pick<TargetEntry, 'coldMs'>,
  leftMs: number,
): number {
  return Math.max(coldMs > 0 ? 1 : 0, Math.round(leftMs));
}

/** Recent changes that this host has read and announces to other hosts. */
export class RecentChanges {
  /** The newest change of each target, by id, oldest first. */
  private readonly announced = new Map<string, AnnouncedChange>();

  /**
   * Adds what a read has found: changes of targets, and targets that state that they are cold.
   *
   * @param changed - Records that changed the state.
   * @param read - All records of the read.
   * @param nowMs - Monotonic time, in milliseconds.
   * @param keptUntilMs - Monotonic time until which a removed target is kept, in milliseconds; 0 if it is not.
   */
  add(
    changed: readonly FeedRecord[],
    read: readonly FeedRecord[],
    nowMs: number,
    keptUntilMs: (id: string) => number,
  ): void {
    const cold = read.filter(
      record =>
        record.change.kind === 'target' &&
        (record.change.entry?.coldMs ?? 0) > 0 &&
        !changed.includes(record),
    );
    const records = [...changed, ...cold].sort((a, b) => a.offset - b.offset);
    for (const {offset, change} of records) {
      if (change.kind !== 'target') continue;
      const {id, entry} = change;
      const until = entry ? 0 : keptUntilMs(id);
      const known = this.announced.get(id);
      const isChange =
        known?.isChange || !cold.some(each => each.offset === offset);
      this.announced.delete(id);
      this.announced.set(id, {
        ...{isChange, offset, id, entry},
        ...{atMs: nowMs, keptUntilMs: until},
      });
    }
  }

  /**
   * Lists the changes that are still announced, with their remaining times. If there are too many for a message, changes
   * of the state go before cold times that were extended, and of the others only the cold times are listed.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   */
  list(nowMs: number): Required<Pick<FeedUpdate, 'changes' | 'coldTimes'>> {
    for (const [id, {atMs}] of this.announced) {
      if (nowMs - atMs > announceMs) this.announced.delete(id);
    }
    const all = [...this.announced.values()];
    const byNeed = [
      ...all.filter(({isChange}) => !isChange),
      ...all.filter(({isChange}) => isChange),
    ];
    const listed = new Set(byNeed.slice(-maxChanges));
    const changes: TargetUpdate[] = [];
    const coldTimes: ColdTime[] = [];
    for (const row of all) {
      const {atMs, offset, id, keptUntilMs} = row;
      const entry = row.entry && {
        ...row.entry,
        coldMs: statedColdMs(row.entry, row.entry.coldMs - (nowMs - atMs)),
      };
      if (listed.has(row)) {
        const keepMs = Math.max(0, Math.round(keptUntilMs - nowMs));
        changes.push({offset, id, entry, keepMs});
      } else if (entry && entry.coldMs > 0) {
        const {bornMs, coldMs} = entry;
        coldTimes.push({id, bornMs, coldMs});
      }
    }
    return {changes, coldTimes: coldTimes.slice(-maxColdTimes)};
  }
}
