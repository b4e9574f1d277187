import {Subject} from '../../process/subject.js';
import {hash32} from '../../process/fleet/rendezvous.js';
import {
  feeds,
  type Feed,
  type FeedRecord,
} from '../../connection/store/shared-store.js';
import {identityOf, isSameEntry} from './entry-identity.js';
import type {ColdTime} from './feed-update.js';
import {
  isRewritten,
  LostRecords,
  type UnconfirmedRecord,
} from './lost-records.js';
import {removalsOfMissing} from './missing-records.js';
import type {
  Change,
  Configuration,
  HostEntry,
  RolloutOrder,
  RolloutStatus,
  TargetEntry,
} from './types.js';

/**
 * Time for which a target whose entry expired during an outage of the store is kept after the end of the
 * outage, in milliseconds. Targets that are alive write their entries again within about this time.
 */
export const expiryGraceMs = 2200;

/** A target with the times that this host derived from its entry. */
export interface KnownTarget {
  readonly entry: TargetEntry;
  /** Monotonic time at which the target stops being cold, in milliseconds; 0 if it is not cold. */
  readonly coldUntilMs: number;
  /** Monotonic time at which a target whose entry expired is removed, in milliseconds; absent if it is listed. */
  readonly goneAtMs?: number;
}

/** A rollout order and the offset of its record, which distinguishes successive orders for a service. */
export interface RecordedOrder {
  readonly order: RolloutOrder;
  readonly offset: number;
  /** Monotonic time at which this host learnt of the order, in milliseconds. */
  readonly seenAtMs: number;
}

/** How the targets of a copy are applied. */
export interface CopyOptions {
  /** Checks whether an entry of the copy is older than what is known. */
  readonly isOutdated?: (entry: TargetEntry) => boolean;
  readonly keepExpiredUntilMs?: number;
}

/** Kind of a change, which is published to observers of the state. */
export type ChangeKind = Change['kind'];

/**
 * This host's view of the deployment: configuration, targets, evacuations, rollouts and hosts. Records of a
 * log are applied in its order. A configuration is never replaced by an older version.
 */
export class DeploymentState {
  private currentConfiguration: Configuration | undefined;
  private readonly knownTargets = new Map<string, KnownTarget>();
  private readonly evacuated = new Set<string>();
  private readonly recordedOrders = new Map<string, RecordedOrder>();
  private readonly recordedStatuses = new Map<string, RolloutStatus>();
  private readonly knownHosts = new Map<string, HostEntry>();
  private readonly lost = new LostRecords();
  private readonly subject = new Subject<ChangeKind>();
  private digest: number | undefined;

  /** Kinds of changes, published once all records of a batch are applied. */
  readonly changes = this.subject.stream;

  /** The newest configuration; `undefined` until one is known. */
  get configuration(): Configuration | undefined {
    return this.currentConfiguration;
  }

  /** Targets by id, including draining ones and those that are kept although their entries expired. */
  get targets(): ReadonlyMap<string, KnownTarget> {
    return this.knownTargets;
  }

  /** Zones whose targets get no requests. */
  get evacuatedZones(): ReadonlySet<string> {
    return this.evacuated;
  }

  /** Rollout orders by service. */
  get orders(): ReadonlyMap<string, RecordedOrder> {
    return this.recordedOrders;
  }

  /** Recorded statuses of rollouts by service. */
  get statuses(): ReadonlyMap<string, RolloutStatus> {
    return this.recordedStatuses;
  }

  /** Services whose known status the store lost when it was restored from a copy, so that it has to be appended again. */
  get lostStatuses(): ReadonlySet<string> {
    return this.lost.statuses;
  }

  /** Hosts that registered themselves, by name. */
  get hosts(): ReadonlyMap<string, HostEntry> {
    return this.knownHosts;
  }

  /**
   * Digest of the listed targets, independent of their order; equal on hosts that know the same ones. It contains whether
   * the newest entry of a target states that it is cold: a host that missed that record differs and reads the log.
   */
  get targetsDigest(): number {
    if (this.digest === undefined) {
      let sum = 0;
      for (const {entry, goneAtMs} of this.knownTargets.values()) {
        if (goneAtMs === undefined) sum += hash32(identityOf(entry));
      }
      this.digest = sum % 2 ** 32;
    }
    return this.digest;
  }

  /**
   * Applies records in their order. Observers are notified after all are applied, so that they do not act
   * on a state that a later record of the batch has already changed.
   *
   * @param records - Records of one log.
   * @param nowMs - Monotonic time, in milliseconds.
   * @param keepExpiredUntilMs - Monotonic time until which removed targets that did not announce draining
   *   are kept, in milliseconds, because the store had an outage; 0 if it had none.
   * @returns The records that changed the state.
   */
  apply(
    records: readonly FeedRecord[],
    nowMs: number,
    keepExpiredUntilMs = 0,
  ): FeedRecord[] {
    const changed = records.filter(({change, offset}) =>
      this.applyChange(change, offset, nowMs, keepExpiredUntilMs),
    );
    for (const kind of new Set(changed.map(({change}) => change.kind))) {
      this.subject.next(kind);
    }
    return changed;
  }

  /**
   * Replaces the state of one log by a complete list. Targets, evacuations and orders that the list does not
   * contain are removed.
   *
   * @param kind - Log of the records.
   * @param records - Newest record of each key.
   * @param nowMs - Monotonic time, in milliseconds.
   * @param keepExpiredUntilMs - As for {@link apply}.
   * @returns The records that changed the state, including removals, which have offset 0.
   */
  replace(
    kind: 'orders' | 'targets' | 'statuses' | 'hosts',
    records: readonly FeedRecord[],
    nowMs: number,
    keepExpiredUntilMs = 0,
  ): FeedRecord[] {
    const removals = removalsOfMissing(this, kind, records).map(change => ({
      offset: 0,
      change,
    }));
    return this.apply([...removals, ...records], nowMs, keepExpiredUntilMs);
  }

  /**
   * Replaces the state of one log after the store was restored from a copy. What this host knows beyond the copy is kept
   * until it is written again; see {@link LostRecords}.
   *
   * @param kind - Log of the records.
   * @param records - Newest record of each key.
   * @param nowMs - Monotonic time, in milliseconds.
   * @param keepExpiredUntilMs - As for {@link apply}.
   * @returns The records that changed the state, including removals, which have offset 0.
   */
  restore(
    kind: Feed,
    records: readonly FeedRecord[],
    nowMs: number,
    keepExpiredUntilMs: number,
  ): FeedRecord[] {
    switch (kind) {
      case feeds.orders:
        this.lost.keep(removalsOfMissing(this, kind, records), nowMs);
        return this.apply(records, nowMs);
      case feeds.targets: {
        const {knownTargets, lost} = this;
        return this.replaceByCopy(records, nowMs, {
          keepExpiredUntilMs,
          isOutdated: entry =>
            lost.isOutdated(entry, knownTargets.get(entry.id)),
        });
      }
      case feeds.statuses: {
        const {recordedStatuses, recordedOrders} = this;
        return this.apply(
          this.lost.compareStatuses(records, recordedStatuses, recordedOrders),
          nowMs,
        );
      }
      case feeds.hosts:
        return this.apply(records, nowMs);
    }
  }

  /**
   * Replaces the targets by a copy that may be older than what is known of some of them: it neither replaces an incarnation
   * by an earlier one nor ends a cold time early. Their next records do.
   *
   * @param records - Records of the copy.
   * @param nowMs - Monotonic time, in milliseconds.
   * @param options - Which other entries are outdated, and until when expired targets are kept, as for {@link apply}.
   * @returns The records that changed the state, including removals, which have offset 0.
   */
  replaceByCopy(
    records: readonly FeedRecord[],
    nowMs: number,
    {isOutdated, keepExpiredUntilMs}: CopyOptions = {},
  ): FeedRecord[] {
    const known = new Map(this.knownTargets);
    const removals = removalsOfMissing(this, 'targets', records);
    const current = records.filter(({change}) => {
      if (change.kind !== 'target' || !change.entry) return true;
      const {id, bornMs} = change.entry;
      const knownBornMs = known.get(id)?.entry.bornMs ?? bornMs;
      return bornMs >= knownBornMs && !isOutdated?.(change.entry);
    });
    const all = [...removals.map(change => ({offset: 0, change})), ...current];
    const changed = this.apply(all, nowMs, keepExpiredUntilMs);
    for (const {entry, coldUntilMs} of known.values()) {
      this.extendCold({...entry, coldMs: coldUntilMs - nowMs}, nowMs);
    }
    return changed;
  }

  /**
   * Lists what is kept although the log of orders, once restored, does not hold it.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   */
  unconfirmed(nowMs: number): UnconfirmedRecord[] {
    return this.lost.list(nowMs);
  }

  /**
   * Notes that the log does not hold some of what a copy contained.
   *
   * @param records - What the host that made the copy keeps.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  keepUnconfirmed(records: readonly UnconfirmedRecord[], nowMs: number): void {
    this.lost.keepAlso(records, nowMs);
  }

  /**
   * Extends the cold time of a target by one that may be older than its newest entry; does not shorten it.
   *
   * @param cold - Incarnation, with the cold time that is left of it.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  extendCold({id, bornMs, coldMs}: ColdTime, nowMs: number): void {
    const known = this.knownTargets.get(id);
    const coldUntilMs = nowMs + coldMs;
    if (coldMs <= 0 || known?.entry.bornMs !== bornMs) return;
    if (coldUntilMs <= known.coldUntilMs) return;
    this.knownTargets.set(id, {...known, coldUntilMs});
  }

  /**
   * Checks whether new requests may be sent to a target: it is known, of the same start, not draining and in
   * no evacuated zone.
   *
   * @param entry - Entry by which the target was chosen.
   */
  allows({id, bornMs, zone}: TargetEntry): boolean {
    const known = this.knownTargets.get(id)?.entry;
    return (
      known !== undefined &&
      !known.draining &&
      known.bornMs === bornMs &&
      !this.evacuated.has(zone)
    );
  }

  /**
   * Removes what is kept although its record expired or was lost, and was not written again in time.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   */
  expire(nowMs: number): void {
    for (const [id, {goneAtMs}] of this.knownTargets) {
      if (goneAtMs === undefined || goneAtMs > nowMs) continue;
      this.removeTarget(id, nowMs);
      this.subject.next('target');
    }
    const due = this.lost.takeDue(nowMs);
    this.apply(
      due.map(change => ({offset: 0, change})),
      nowMs,
    );
  }

  private removeTarget(id: string, nowMs: number): boolean {
    const known = this.knownTargets.get(id);
    if (!known) return false;
    this.lost.targetRemoved(known.entry, nowMs);
    return this.knownTargets.delete(id);
  }

  private applyChange(
    change: Change,
    offset: number,
    nowMs: number,
    keepExpiredUntilMs: number,
  ): boolean {
    this.lost.written(change);
    switch (change.kind) {
      case 'configuration': {
        const known = this.currentConfiguration?.version ?? -1;
        if (change.configuration.version <= known) return false;
        this.currentConfiguration = change.configuration;
        return true;
      }
      case 'evacuation':
        if (change.active === this.evacuated.has(change.zone)) return false;
        if (change.active) this.evacuated.add(change.zone);
        else this.evacuated.delete(change.zone);
        return true;
      case 'rollout-order':
        return this.applyOrder(change.service, change.order, offset, nowMs);
      case 'rollout-status': {
        const {service, status} = change;
        if (status) this.recordedStatuses.set(service, status);
        else this.recordedStatuses.delete(service);
        return true;
      }
      case 'target':
        return this.applyTarget(change, nowMs, keepExpiredUntilMs);
      case 'host': {
        const known = this.knownHosts.get(change.host);
        if (!change.entry) return this.knownHosts.delete(change.host);
        this.knownHosts.set(change.host, change.entry);
        return known?.ip !== change.entry.ip;
      }
      case 'unreadable':
        return false;
    }
  }

  private applyOrder(
    service: string,
    order: RolloutOrder | undefined,
    offset: number,
    nowMs: number,
  ): boolean {
    const known = this.recordedOrders.get(service);
    if (!order) return this.recordedOrders.delete(service);
    if (known && offset <= known.offset) return false;
    const isSame = known && isRewritten(known, order, offset);
    const seenAtMs = isSame ? known.seenAtMs : nowMs;
    this.recordedOrders.set(service, {order, offset, seenAtMs});
    return true;
  }

  private applyTarget(
    {id, entry}: Extract<Change, {kind: 'target'}>,
    nowMs: number,
    keepExpiredUntilMs: number,
  ): boolean {
    const known = this.knownTargets.get(id);
    if (entry) {
      const coldUntilMs = entry.coldMs > 0 ? nowMs + entry.coldMs : 0;
      this.knownTargets.set(id, {entry, coldUntilMs});
      const same =
        known !== undefined &&
        known.goneAtMs === undefined &&
        isSameEntry(known.entry, entry);
      if (!same) this.digest = undefined;
      return !same;
    }
    if (!known) return false;
    this.digest = undefined;
    // A target that announced draining is stopping, so its entry will not be written again.
    if (keepExpiredUntilMs > nowMs && !known.entry.draining) {
      if (known.goneAtMs !== undefined) return false;
      this.knownTargets.set(id, {...known, goneAtMs: keepExpiredUntilMs});
      return true;
    }
    return this.removeTarget(id, nowMs);
  }
}
