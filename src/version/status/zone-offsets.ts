import type {Clock} from '../../process/clock.js';
import type {MemberView} from '../../process/member-view.js';
import {listResources, type ConfigState} from '../config-state.js';

/** Maximum recorded advances of a zone, from which the time of a record is looked up. */
const maxAdvances = 512;

/** Configuration offset in effect in one zone, as known to this host. */
export interface ZoneOffset {
  readonly zone: string;
  /** Minimum offset of the zone's live hosts; absent if no host of the zone is reachable. */
  readonly offset?: number;
  /** Number of hosts from which the offset is computed. */
  readonly hosts: number;
  /** Wall time since which the zone has this offset, in milliseconds. */
  readonly sinceMs: number;
}

/** Increase of the offset of a zone. */
interface Advance {
  readonly offset: number;
  readonly atMs: number;
}

/** Current offset of a zone and its recent increases, oldest first. */
interface ZoneHistory {
  current: ZoneOffset;
  advances: Advance[];
}

/** Tracks the configuration offset that is in effect in each zone. */
export class ZoneOffsets {
  private readonly zones = new Map<string, ZoneHistory>();

  /**
   * @param members - Members known to this host.
   * @param config - Reads the current configuration.
   * @param clock - Clock of the reported times.
   */
  constructor(
    private readonly members: MemberView,
    private readonly config: () => ConfigState,
    private readonly clock: Clock,
  ) {}

  /** Recomputes the offsets from the current members; called after each change of a member. */
  refresh(): void {
    const offsets = new Map<string, number[]>();
    for (const {name} of listResources(this.config(), 'zone')) {
      offsets.set(name, []);
    }
    for (const member of this.members.live()) {
      const isSelf = member.id === this.members.self.id;
      const reported = offsets.get(member.zone) ?? [];
      offsets.set(member.zone, reported);
      // A suspect host has not reported recently, but it may still run with its last reported
      // offset, so the zone is not at a higher one.
      if (isSelf) reported.push(this.config().offset);
      else if (member.state !== 'dead') reported.push(member.configOffset);
    }
    for (const zone of this.zones.keys()) {
      if (!offsets.has(zone)) this.zones.delete(zone);
    }
    for (const [zone, reported] of offsets) {
      this.update(zone, this.isReachable(zone) ? reported : []);
    }
  }

  /** Lists all declared zones and those of live members, by name. */
  list(): readonly ZoneOffset[] {
    this.refresh();
    return [...this.zones.values()]
      .map(({current}) => current)
      .sort((a, b) => (a.zone < b.zone ? -1 : 1));
  }

  /**
   * Finds the time since which a record is in effect in a zone.
   *
   * @param zone - Name of the zone.
   * @param offset - Offset of the record.
   * @returns Wall time in milliseconds, or `undefined` if the record is not in effect or the time is
   *   beyond the recorded advances.
   */
  inEffectSince(zone: string, offset: number): number | undefined {
    const history = this.zones.get(zone);
    const index = history?.advances.findIndex(step => step.offset > offset);
    if (!history || index === undefined || index < 0) return undefined;
    const dropped = index === 0 && history.advances.length >= maxAdvances;
    return dropped ? undefined : history.advances[index].atMs;
  }

  private isReachable(zone: string): boolean {
    const {self} = this.members;
    return (
      zone === self.zone ||
      this.members.live(zone).some(member => member.state === 'alive')
    );
  }

  private update(zone: string, reported: readonly number[]): void {
    const nowMs = this.clock.wallMs();
    const offset = reported.length > 0 ? Math.min(...reported) : undefined;
    const history = this.zones.get(zone);
    const last = history?.current;
    const sinceMs = last && last.offset === offset ? last.sinceMs : nowMs;
    const current = {zone, offset, hosts: reported.length, sinceMs};
    const advances = history?.advances ?? [];
    const highest = advances.at(-1)?.offset ?? -1;
    if (offset !== undefined && offset > highest) {
      advances.push({offset, atMs: nowMs});
      if (advances.length > maxAdvances) advances.shift();
    }
    this.zones.set(zone, {current, advances});
  }
}
