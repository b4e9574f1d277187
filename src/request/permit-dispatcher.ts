import type {Clock} from '../process/clock.js';
import {FailureError} from '../process/errors/catalogue.js';
import {listGroups, pickGroup} from '../process/groups/group-names.js';
import {minSpillMs} from '../process/groups/permit-limits.js';
import type {PermitManager} from '../process/groups/permit-manager.js';
import type {MemberView} from '../process/member-view.js';
import {getResource, type ConfigState} from '../version/config-state.js';
import {Dispatcher, type Grant} from './dispatcher.js';
import type {RefusalReason} from './refusals.js';
import type {QueuedRequest} from './scheduler/types.js';

/** Refusals of the first zone after which the request is tried in the second one. */
const spillReasons = new Set<RefusalReason>([
  'no-target',
  'queue-full',
  'deadline-unreachable',
]);

/** Dependencies of the dispatcher. */
export interface PermitDispatcherParts {
  readonly permits: Pick<PermitManager, 'acquire' | 'capacity' | 'cutOff'>;
  readonly members: MemberView;
  readonly config: () => ConfigState;
  readonly clock: Clock;
  /** Called with zone and reason when a request spills to another zone. */
  readonly onSpill?: (zone: string, reason: RefusalReason) => void;
}

/**
 * Acquires permits from the group owner in the local zone first, then from that in one other zone. A
 * retry that failed at every target of the local group tries the other zone first, since the local
 * owner would let it wait for those targets.
 */
export class PermitDispatcher extends Dispatcher {
  /**
   * @param parts - Dependencies.
   */
  constructor(private readonly parts: PermitDispatcherParts) {
    super();
  }

  override async acquire(
    req: QueuedRequest,
    signal: AbortSignal,
  ): Promise<Grant> {
    const {clock, members} = this.parts;
    const endMs = clock.nowMs() + req.timeoutMs;
    const local = this.group(req, members.self.zone);
    const remote = this.findRemoteGroup(req, members.self.zone);
    const failedLocally =
      local !== undefined && this.allTargetsFailed(local, req);
    const [first, second] =
      failedLocally && remote ? [remote, local] : [local, remote];
    let refused: FailureError;
    try {
      if (first === undefined) throw noTarget();
      if (first === remote) this.parts.onSpill?.(zoneOf(first), 'no-target');
      return await this.parts.permits.acquire(first, req, signal);
    } catch (err) {
      if (!(err instanceof FailureError) || signal.aborted) throw err;
      refused = err;
    }
    const {failure} = refused;
    const timeoutMs = endMs - clock.nowMs();
    if (
      failure.kind !== 'refused' ||
      !spillReasons.has(failure.reason) ||
      second === undefined ||
      timeoutMs < minSpillMs ||
      this.parts.permits.cutOff
    ) {
      throw refused;
    }
    if (second === remote) this.parts.onSpill?.(zoneOf(second), failure.reason);
    return this.parts.permits.acquire(second, {...req, timeoutMs}, signal);
  }

  /** Whether the request failed at every target of a group. */
  private allTargetsFailed(group: string, {avoid}: QueuedRequest): boolean {
    const targets = listGroups(this.parts.config()).get(group) ?? [];
    return targets.every(target => avoid.includes(target));
  }

  private group(req: QueuedRequest, zone: string): string | undefined {
    const prefix = `${zone}/${req.service}/`;
    const names = [...listGroups(this.parts.config())]
      .filter(([name, targets]) => name.startsWith(prefix) && targets.length)
      .map(([name]) => name);
    return pickGroup(req, names, name => this.freeSlots(name));
  }

  /** Finds the group with the most free slots in other zones that have live hosts and are not `out`. */
  private findRemoteGroup(
    req: QueuedRequest,
    localZone: string,
  ): string | undefined {
    const {config, members} = this.parts;
    const zones = new Set(members.live().map(({zone}) => zone));
    zones.delete(localZone);
    let best: {group: string; slots: number} | undefined;
    for (const zone of [...zones].sort()) {
      if (getResource(config(), 'zone', zone)?.spec.state === 'out') continue;
      const group = this.group(req, zone);
      if (group === undefined || this.allTargetsFailed(group, req)) continue;
      // A zone without a report of free slots ranks before one that is known to be full.
      const slots = this.freeSlots(group) ?? 0.5;
      if (slots > 0 && (!best || slots > best.slots)) best = {group, slots};
    }
    return best?.group;
  }

  private freeSlots(group: string): number | undefined {
    const {clock, permits} = this.parts;
    return permits.capacity.get(group, clock.nowMs());
  }
}

function zoneOf(group: string): string {
  return group.split('/')[0];
}

function noTarget(): FailureError {
  return new FailureError({kind: 'refused', reason: 'no-target'});
}
