import {Subject} from '../../process/subject.js';
import {hash32} from '../../process/fleet/rendezvous.js';
import type {FeedRecord} from '../../connection/store/shared-store.js';
import type {
  Change,
  Configuration,
  HostEntry,
  RolloutOrder,
  RolloutStatus,
  TargetEntry,
} from './types.js';

/**
 * Time for which a target whose entry lapsed during an outage of the store is kept, counted from
 * the store's return. Targets that live write their entries again within about this time.
 */
export const expiryGraceMs = 2200;

/** What is known of a target. */
export interface KnownTarget {
  readonly entry: TargetEntry;
  /** Time at which the target stops being cold, on the process's clock, in milliseconds. */
  readonly coldUntilMs: number;
  /** Time at which an entry that lapsed counts as gone, on the process's clock, in milliseconds. */
  readonly goneAtMs?: number;
}

/** A rollout order and the offset of its record, which tells two orders for a service apart. */
export interface RecordedOrder {
  readonly order: RolloutOrder;
  readonly offset: number;
  /** Time at which this host learnt of the order, on the process's clock, in milliseconds. */
  readonly seenAtMs: number;
}

/** What changed, for those who keep something derived from it. */
export type ChangeKind = Change['kind'];

/**
 * What a host knows of the deployment: configuration, targets, evacuations and rollouts. Records
 * are applied in the order of their log; a configuration never goes back to an older version.
 */
export class DeploymentState {
  private currentConfiguration: Configuration | undefined;
  private readonly knownTargets = new Map<string, KnownTarget>();
  private readonly evacuated = new Set<string>();
  private readonly placedOrders = new Map<string, RecordedOrder>();
  private readonly recordedStatuses = new Map<string, RolloutStatus>();
  private readonly knownHosts = new Map<string, HostEntry>();
  private readonly subject = new Subject<ChangeKind>();
  private digest: number | undefined;

  /** Kinds of what changed. */
  readonly changes = this.subject.stream;

  /** The newest configuration, if any is known. */
  get configuration(): Configuration | undefined {
    return this.currentConfiguration;
  }

  /** Targets by id, draining ones included. */
  get targets(): ReadonlyMap<string, KnownTarget> {
    return this.knownTargets;
  }

  /** Zones whose targets get nothing. */
  get evacuatedZones(): ReadonlySet<string> {
    return this.evacuated;
  }

  /** Rollout orders by service. */
  get orders(): ReadonlyMap<string, RecordedOrder> {
    return this.placedOrders;
  }

  /** Recorded statuses of rollouts by service. */
  get statuses(): ReadonlyMap<string, RolloutStatus> {
    return this.recordedStatuses;
  }

  /** Hosts that registered themselves. */
  get hosts(): ReadonlyMap<string, HostEntry> {
    return this.knownHosts;
  }

  /** Digest of the listed targets; equal on hosts that know the same ones. */
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
   * Applies records in their order. Observers are told once all are applied, so that they do not act on
   * what a later record has already changed.
   *
   * @param records - Records of one log.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @param keepLapsedUntilMs - Until when targets that are removed without a word are kept, because
   *   the store was away; 0 if it was not.
   * @returns The records that changed anything.
   */
  apply(
    records: readonly FeedRecord[],
    nowMs: number,
    keepLapsedUntilMs = 0,
  ): FeedRecord[] {
    const changed = records.filter(({change, offset}) =>
      this.fold(change, offset, nowMs, keepLapsedUntilMs),
    );
    for (const kind of new Set(changed.map(({change}) => change.kind))) {
      this.subject.next(kind);
    }
    return changed;
  }

  /**
   * Replaces what is known of a kind by a complete list: what it does not hold is removed.
   *
   * @param kind - Kind of the records.
   * @param records - Newest record of each key.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @param keepLapsedUntilMs - As for {@link apply}.
   * @returns The records that changed anything, removals included.
   */
  replace(
    kind: 'orders' | 'targets' | 'statuses' | 'hosts',
    records: readonly FeedRecord[],
    nowMs: number,
    keepLapsedUntilMs = 0,
  ): FeedRecord[] {
    const removals = this.missingFrom(kind, records).map(change => ({
      offset: 0,
      change,
    }));
    return this.apply([...removals, ...records], nowMs, keepLapsedUntilMs);
  }

  /**
   * Forgets targets whose entries lapsed and did not come back.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  expire(nowMs: number): void {
    for (const [id, {goneAtMs}] of this.knownTargets) {
      if (goneAtMs === undefined || goneAtMs > nowMs) continue;
      this.knownTargets.delete(id);
      this.subject.next('target');
    }
  }

  private fold(
    change: Change,
    offset: number,
    nowMs: number,
    keepLapsedUntilMs: number,
  ): boolean {
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
        return this.foldOrder(change.service, change.order, offset, nowMs);
      case 'rollout-status': {
        const {service, status} = change;
        if (status) this.recordedStatuses.set(service, status);
        else this.recordedStatuses.delete(service);
        return true;
      }
      case 'target':
        return this.foldTarget(change, nowMs, keepLapsedUntilMs);
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

  private foldOrder(
    service: string,
    order: RolloutOrder | undefined,
    offset: number,
    nowMs: number,
  ): boolean {
    const known = this.placedOrders.get(service);
    if (!order) return this.placedOrders.delete(service);
    if (known && offset <= known.offset) return false;
    this.placedOrders.set(service, {order, offset, seenAtMs: nowMs});
    return true;
  }

  private foldTarget(
    {id, entry}: Extract<Change, {kind: 'target'}>,
    nowMs: number,
    keepLapsedUntilMs: number,
  ): boolean {
    const known = this.knownTargets.get(id);
    if (entry) {
      const coldUntilMs = entry.coldMs > 0 ? nowMs + entry.coldMs : 0;
      this.knownTargets.set(id, {entry, coldUntilMs});
      const same =
        known !== undefined &&
        known.goneAtMs === undefined &&
        known.coldUntilMs > 0 === coldUntilMs > 0 &&
        isSameEntry(known.entry, entry);
      if (!same) this.digest = undefined;
      return !same;
    }
    if (!known) return false;
    this.digest = undefined;
    // A target that announced its end does not come back.
    if (keepLapsedUntilMs > nowMs && !known.entry.draining) {
      if (known.goneAtMs !== undefined) return false;
      this.knownTargets.set(id, {...known, goneAtMs: keepLapsedUntilMs});
      return true;
    }
    return this.knownTargets.delete(id);
  }

  private missingFrom(
    kind: 'orders' | 'targets' | 'statuses' | 'hosts',
    records: readonly FeedRecord[],
  ): Change[] {
    const changes = records.map(({change}) => change);
    switch (kind) {
      case 'orders':
        return [
          ...[...this.evacuated]
            .filter(
              zone =>
                !changes.some(c => c.kind === 'evacuation' && c.zone === zone),
            )
            .map(zone => ({kind: 'evacuation', zone, active: false}) as const),
          ...[...this.placedOrders.keys()]
            .filter(
              service =>
                !changes.some(
                  c => c.kind === 'rollout-order' && c.service === service,
                ),
            )
            .map(service => ({kind: 'rollout-order', service}) as const),
        ];
      case 'targets': {
        const ids = new Set(
          changes.flatMap(c => (c.kind === 'target' ? c.id : [])),
        );
        return [...this.knownTargets.keys()]
          .filter(id => !ids.has(id))
          .map(id => ({kind: 'target', id}) as const);
      }
      case 'statuses':
      case 'hosts':
        return [];
    }
  }
}

function isSameEntry(a: TargetEntry, b: TargetEntry): boolean {
  return identityOf(a) === identityOf(b);
}

/** Everything of an entry that does not change by the mere passing of time. */
function identityOf(entry: TargetEntry): string {
  const {id, address, service, zone, version, slots, draining, bornMs} = entry;
  return `${id} ${address} ${service} ${zone} ${version} ${slots} ${draining} ${bornMs}`;
}
