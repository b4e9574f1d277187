import {eraOf, type FeedRecord} from '../../connection/store/shared-store.js';
import type {KnownTarget, RecordedOrder} from './deployment-state.js';
import {
  rolloutStates,
  type Change,
  type RolloutOrder,
  type RolloutStatus,
  type TargetEntry,
} from './types.js';

/**
 * Time for which evacuations and rollout orders are kept that a restored copy of the store does not hold, in
 * milliseconds. The operator writes again what was lost.
 */
export const restoredGraceMs = 10_000;
/** Time for which removed targets are remembered, in milliseconds; copies of the store are some seconds old. */
const removedMemoryMs = 300_000;

/** An evacuation or a rollout order that is kept although a restored log does not hold it. */
export interface UnconfirmedRecord {
  /** Zone that is evacuated. */
  readonly zone?: string;
  /** Service of the rollout order. */
  readonly service?: string;
  /** Time after which it ends unless it is written again, in milliseconds. */
  readonly leftMs: number;
}

/**
 * What this host knows beyond a copy from which the store was restored. The copy may lack what was written last, and hold
 * what was removed or replaced since. Operators and targets write theirs again after a while; the hosts have to
 * append the statuses of rollouts again themselves.
 */
export class LostRecords {
  /** Removals that a copy implies, by subject, and the monotonic times at which they take effect. */
  private readonly unconfirmed = new Map<
    string,
    {readonly change: Change; readonly dueMs: number}
  >();
  private readonly lost = new Set<string>();
  /** Incarnations of targets whose entries were removed, and the monotonic times of the removals. */
  private readonly removed = new Map<
    string,
    {readonly bornMs: number; readonly atMs: number}
  >();

  /** Services whose known status the log has lost, so that it has to be appended again. */
  get statuses(): ReadonlySet<string> {
    return this.lost;
  }

  /**
   * Records that the log states something about a subject, so that nothing older is kept.
   *
   * @param change - Content of the record.
   */
  written(change: Change): void {
    this.unconfirmed.delete(subjectOf(change));
    if (change.kind === 'rollout-status') this.lost.delete(change.service);
    if (change.kind === 'target' && change.entry) {
      this.removed.delete(change.id);
    }
  }

  /**
   * Records that the entry of a target was removed.
   *
   * @param entry - Last entry of the target.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  targetRemoved({id, bornMs}: TargetEntry, nowMs: number): void {
    this.removed.set(id, {bornMs, atMs: nowMs});
  }

  /**
   * Keeps evacuations and rollout orders that a copy does not hold for a while.
   *
   * @param removals - Removals that the copy implies.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  keep(removals: readonly Change[], nowMs: number): void {
    for (const change of removals) {
      const dueMs = nowMs + restoredGraceMs;
      this.unconfirmed.set(subjectOf(change), {change, dueMs});
    }
  }

  /**
   * Lists what is kept although the log does not hold it.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   */
  list(nowMs: number): UnconfirmedRecord[] {
    return [...this.unconfirmed.values()].flatMap(({change, dueMs}) => {
      const leftMs = Math.max(0, Math.round(dueMs - nowMs));
      if (change.kind === 'evacuation') return {zone: change.zone, leftMs};
      if (change.kind !== 'rollout-order') return [];
      return {service: change.service, leftMs};
    });
  }

  /**
   * Keeps what another host keeps although the log does not hold it, for as long as that one does.
   *
   * @param records - What the other host keeps.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  keepAlso(records: readonly UnconfirmedRecord[], nowMs: number): void {
    for (const {zone, service, leftMs} of records) {
      const changes: Change[] = [];
      if (zone !== undefined)
        changes.push({kind: 'evacuation', zone, active: false});
      if (service !== undefined) changes.push({kind: 'rollout-order', service});
      for (const change of changes) {
        const dueMs = nowMs + leftMs;
        this.unconfirmed.set(subjectOf(change), {change, dueMs});
      }
    }
  }

  /**
   * Takes the removals whose subjects were not written again in time.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   */
  takeDue(nowMs: number): Change[] {
    for (const [id, {atMs}] of this.removed) {
      if (nowMs - atMs > removedMemoryMs) this.removed.delete(id);
    }
    const due = [...this.unconfirmed].filter(([, {dueMs}]) => dueMs <= nowMs);
    for (const [subject] of due) this.unconfirmed.delete(subject);
    return due.map(([, {change}]) => change);
  }

  /**
   * Checks whether an entry in a copy is older than what is known of the same incarnation: it is draining, or its entry
   * was removed. If it is still in service, it will write its entry again.
   *
   * @param entry - Entry in the copy.
   * @param known - What is known of the target.
   */
  isOutdated(
    {id, bornMs}: TargetEntry,
    known: KnownTarget | undefined,
  ): boolean {
    if (!known) return this.removed.get(id)?.bornMs === bornMs;
    const isLeaving = known.entry.draining || known.goneAtMs !== undefined;
    return isLeaving && known.entry.bornMs === bornMs;
  }

  /**
   * Compares the known statuses with those of a copy, and notes which ones are lost.
   *
   * @param records - Records of the copy.
   * @param known - Known statuses, by service.
   * @param orders - Rollout orders, by service.
   * @returns Changes to the known statuses.
   */
  compareStatuses(
    records: readonly FeedRecord[],
    known: ReadonlyMap<string, RolloutStatus>,
    orders: ReadonlyMap<string, RecordedOrder>,
  ): FeedRecord[] {
    const logged = new Map<string, FeedRecord>();
    for (const record of records) {
      if (record.change.kind !== 'rollout-status') continue;
      logged.set(record.change.service, record);
    }
    for (const [service, status] of known) {
      const {change} = logged.get(service) ?? {};
      const copy =
        change?.kind === 'rollout-status' ? change.status : undefined;
      if (outlasts(status, copy, orders.get(service)?.order.version)) {
        logged.delete(service);
        this.lost.add(service);
      } else if (!copy) {
        const removal = {kind: 'rollout-status', service} as const;
        logged.set(service, {offset: 0, change: removal});
      }
    }
    return [...logged.values()];
  }
}

/** Checks whether a known status holds against the one that a restored log has for the same service. */
function outlasts(
  known: RolloutStatus,
  logged: RolloutStatus | undefined,
  orderedVersion: string | undefined,
): boolean {
  // The controller records `running` again without being asked to.
  if (known.state === rolloutStates.running) return false;
  if (!logged || logged.state === rolloutStates.running) return true;
  // A final status that another host has appended since cannot be replaced by a different one.
  if (logged.version === known.version) return false;
  return logged.version !== orderedVersion;
}

/**
 * Checks whether a record states the order of a known rollout again, because the store was restored from a copy.
 *
 * @param known - Order of the rollout and the position of its record.
 * @param order - Order of the record.
 * @param offset - Position of the record.
 */
export function isRewritten(
  known: Pick<RecordedOrder, 'order' | 'offset'>,
  order: RolloutOrder,
  offset: number,
): boolean {
  return (
    eraOf(offset) > eraOf(known.offset) &&
    order.version === known.order.version &&
    order.durationMs === known.order.durationMs
  );
}

/** Names what an evacuation or a rollout order is about. */
function subjectOf(change: Change): string {
  switch (change.kind) {
    case 'evacuation':
      return `evacuation ${change.zone}`;
    case 'rollout-order':
      return `rollout-order ${change.service}`;
    default:
      return change.kind;
  }
}
