import type {Clock} from '../process/clock.js';
import {FailureError} from '../process/errors/catalogue.js';
import {listGroups, pickGroup} from '../process/groups/group-names.js';
import {minSpillMs} from '../process/groups/permit-limits.js';
import type {PermitNode} from '../process/groups/permit-node.js';
import type {MemberView} from '../process/member-view.js';
import {getResource, type ConfigState} from '../version/config-state.js';
import {Dispatcher, type Grant} from './dispatcher.js';
import type {RefusalReason} from './refusals.js';
import type {QueuedRequest} from './scheduler/types.js';

/** Reasons of the own zone's owner for which another zone may do better. */
const spillReasons = new Set<RefusalReason>([
  'no-target',
  'queue-full',
  'deadline-unreachable',
]);

/** What the dispatcher needs. */
export interface PermitDispatcherParts {
  readonly node: Pick<PermitNode, 'acquire' | 'capacity' | 'cutOff'>;
  readonly members: MemberView;
  readonly config: () => ConfigState;
  readonly clock: Clock;
  /** Called with zone and reason when a request is sent to another zone. */
  readonly onSpill?: (zone: string, reason: RefusalReason) => void;
}

/** Gets permits from the owner in the own zone first, then from one other zone. */
export class PermitDispatcher extends Dispatcher {
  /**
   * @param parts - Parts of the process.
   */
  constructor(private readonly parts: PermitDispatcherParts) {
    super();
  }

  override async acquire(
    req: QueuedRequest,
    signal: AbortSignal,
  ): Promise<Grant> {
    const {clock, members, node} = this.parts;
    const startMs = clock.nowMs();
    const ownZone = members.self.zone;
    let refused: FailureError;
    try {
      const group = this.group(req, ownZone);
      if (group === undefined) throw noTarget();
      return await node.acquire(group, req, signal);
    } catch (err) {
      if (!(err instanceof FailureError) || signal.aborted) throw err;
      refused = err;
    }
    const {failure} = refused;
    const timeoutMs = req.timeoutMs - (clock.nowMs() - startMs);
    if (
      failure.kind !== 'refused' ||
      !spillReasons.has(failure.reason) ||
      timeoutMs < minSpillMs ||
      node.cutOff
    ) {
      throw refused;
    }
    const group = this.otherGroup(req, ownZone);
    if (group === undefined) throw refused;
    this.parts.onSpill?.(group.split('/')[0], failure.reason);
    return node.acquire(group, {...req, timeoutMs}, signal);
  }

  private group(req: QueuedRequest, zone: string): string | undefined {
    const prefix = `${zone}/${req.service}/`;
    const names = [...listGroups(this.parts.config())]
      .filter(([name, targets]) => name.startsWith(prefix) && targets.length)
      .map(([name]) => name);
    return pickGroup(req, names, name => this.freeSlots(name));
  }

  /** Finds the group with most free slots in the zones that are in and have live hosts. */
  private otherGroup(req: QueuedRequest, own: string): string | undefined {
    const {config, members} = this.parts;
    const zones = new Set(members.live().map(({zone}) => zone));
    zones.delete(own);
    let best: {group: string; slots: number} | undefined;
    for (const zone of [...zones].sort()) {
      if (getResource(config(), 'zone', zone)?.spec.state === 'out') continue;
      const group = this.group(req, zone);
      if (group === undefined) continue;
      // A zone of which nothing is known is tried before one that is known to be full.
      const slots = this.freeSlots(group) ?? 0.5;
      if (slots > 0 && (!best || slots > best.slots)) best = {group, slots};
    }
    return best?.group;
  }

  private freeSlots(group: string): number | undefined {
    const {clock, node} = this.parts;
    return node.capacity.get(group, clock.nowMs());
  }
}

function noTarget(): FailureError {
  return new FailureError({kind: 'refused', reason: 'no-target'});
}
