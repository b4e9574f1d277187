import type {Clock} from '../../process/clock.js';
import type {MemberView} from '../../process/member-view.js';
import {listResources, type ConfigState} from '../config-state.js';

/** Advances of a zone that are remembered, to tell since when a record is in effect. */
const rememberedAdvances = 512;

/** Configuration in effect in one zone, as known to this host. */
export interface ZoneOffset {
  readonly zone: string;
  /** Least offset of the zone's live hosts; absent if no host of the zone can be heard. */
  readonly offset?: number;
  /** Hosts of the zone that can be heard. */
  readonly hosts: number;
  /** Wall time at which this view of the zone began, in milliseconds. */
  readonly sinceMs: number;
}

interface Advance {
  readonly offset: number;
  readonly atMs: number;
}

interface ZoneHistory {
  current: ZoneOffset;
  advances: Advance[];
}

/** Follows which configuration offset is in effect in each zone. */
export class ZoneOffsets {
  private readonly zones = new Map<string, ZoneHistory>();

  /**
   * @param members - Members known to this host.
   * @param config - Reads the current configuration.
   * @param clock - Clock for the times reported.
   */
  constructor(
    private readonly members: MemberView,
    private readonly config: () => ConfigState,
    private readonly clock: Clock,
  ) {}

  /** Takes up the present state of all members; called after each change of them. */
  refresh(): void {
    const offsets = new Map<string, number[]>();
    for (const {name} of listResources(this.config(), 'zone')) {
      offsets.set(name, []);
    }
    for (const member of this.members.live()) {
      const own = member.id === this.members.self.id;
      const heard = offsets.get(member.zone) ?? [];
      offsets.set(member.zone, heard);
      // A suspect host has not been heard for a while; its last offset proves nothing new, but
      // the zone is not at a higher offset while that host may still be running.
      if (own) heard.push(this.config().offset);
      else if (member.state !== 'dead') heard.push(member.configOffset);
    }
    for (const zone of this.zones.keys()) {
      if (!offsets.has(zone)) this.zones.delete(zone);
    }
    for (const [zone, heard] of offsets) {
      this.update(zone, this.canBeHeard(zone) ? heard : []);
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
   * Tells since when a record is in effect in a zone.
   *
   * @param zone - Name of the zone.
   * @param offset - Offset of the record.
   * @returns Wall time in milliseconds, or `undefined` if it is not, or longer than remembered.
   */
  inEffectSince(zone: string, offset: number): number | undefined {
    const history = this.zones.get(zone);
    const index = history?.advances.findIndex(step => step.offset > offset);
    if (!history || index === undefined || index < 0) return undefined;
    const dropped =
      index === 0 && history.advances.length >= rememberedAdvances;
    return dropped ? undefined : history.advances[index].atMs;
  }

  private canBeHeard(zone: string): boolean {
    const {self} = this.members;
    return (
      zone === self.zone ||
      this.members.live(zone).some(member => member.state === 'alive')
    );
  }

  private update(zone: string, heard: readonly number[]): void {
    const nowMs = this.clock.wallMs();
    const offset = heard.length > 0 ? Math.min(...heard) : undefined;
    const history = this.zones.get(zone);
    const last = history?.current;
    const sinceMs = last && last.offset === offset ? last.sinceMs : nowMs;
    const current = {zone, offset, hosts: heard.length, sinceMs};
    const advances = history?.advances ?? [];
    const highest = advances.at(-1)?.offset ?? -1;
    if (offset !== undefined && offset > highest) {
      advances.push({offset, atMs: nowMs});
      if (advances.length > rememberedAdvances) advances.shift();
    }
    this.zones.set(zone, {current, advances});
  }
}
