import type {SlotRequest} from '../../request/gateway/dispatcher.js';
import {
  leaveReasons,
  type LeaveReason,
  type ServicePlan,
  type ZoneTransfers,
} from '../zones/zone-transfers.js';
import {
  chooseTarget,
  estimateCostMs,
  isOnTime,
  type PlacementRequest,
} from './choose-target.js';
import {finalPollsMs} from './limited-targets.js';
import type {PooledTarget} from './pooled-target.js';

/**
 * What leaving the zone costs beside the way, in milliseconds of a caller's time per request: operators pay for bytes
 * between zones. A caller does not notice this time, and less than that is not worth the bytes of a prompt.
 */
const leavingPriceMs = 30;

/** What the choice for one request depends on. */
export interface ZoneChoiceParts {
  readonly request: SlotRequest;
  readonly demand: PlacementRequest;
  /** Targets with a free slot that the request may use. */
  readonly free: Iterable<PooledTarget>;
  /** Checks that a target suits the request. */
  readonly fits: (target: PooledTarget) => boolean;
  /** Lists the targets that the request may use, with or without a free slot. */
  readonly eligible: () => Iterable<PooledTarget>;
  /** Lists all targets of the service that take requests. */
  readonly inService: () => Iterable<PooledTarget>;
}

/** Choice for one request. */
export interface ZoneChoice {
  readonly target?: PooledTarget;
  /** Whether a target that the request may use has a free slot. */
  readonly hasFree: boolean;
}

/**
 * Chooses among all targets with a free slot, whatever their zone.
 *
 * @param free - Targets with a free slot that the request may use.
 * @param demand - Request to place.
 * @param fits - Checks that a target suits the request.
 */
export function chooseFitting(
  free: Iterable<PooledTarget>,
  demand: PlacementRequest,
  fits: (target: PooledTarget) => boolean,
): ZoneChoice {
  let hasFree = false;
  const fitting = function* () {
    for (const target of free) {
      hasFree = true;
      if (fits(target)) yield target;
    }
  };
  const target = chooseTarget(fitting(), demand);
  return {target, hasFree};
}

/**
 * Chooses a target at home while the zone has room, and one in another zone if leaving pays for this request. A target
 * that is chosen is counted as taken.
 *
 * @param transfers - Decides how many requests leave.
 * @param parts - Request and targets.
 */
export function chooseByZone(
  transfers: ZoneTransfers,
  parts: ZoneChoiceParts,
): ZoneChoice {
  const {request, demand, fits} = parts;
  const {service, bodyBytes = 0} = request;
  const home: PooledTarget[] = [];
  const away: PooledTarget[] = [];
  for (const target of parts.free) {
    (target.entry.zone === transfers.zone ? home : away).push(target);
  }
  const plan = transfers.planFor(service, parts.inService, demand.nowMs);
  const stay = chooseTarget(home.filter(fits), demand);
  const reason = leaveReason(transfers, parts, stay);
  const leave =
    reason &&
    chooseAway(transfers, plan, parts, reason, away.filter(fits), stay);
  if (leave && reason) {
    const {zone} = leave.entry;
    transfers.placed(service, {zone, reason, bytes: bodyBytes});
    return {target: leave, hasFree: true};
  }
  if (stay) transfers.placed(service);
  const hasFree = home.length > 0 || (reason !== undefined && away.length > 0);
  return {target: stay, hasFree};
}

/** Finds why a request may leave, if it may. */
function leaveReason(
  transfers: ZoneTransfers,
  {request, demand, eligible}: ZoneChoiceParts,
  stay: PooledTarget | undefined,
): LeaveReason | undefined {
  if (!stay && !hasZone(eligible(), transfers.zone)) {
    return leaveReasons.homeless;
  }
  if (transfers.mayLeave(request.service)) return leaveReasons.planned;
  const untilMs = Math.min(request.dueAtMs, request.untilMs) - finalPollsMs;
  const isLate = stay ? !isOnTime(stay, demand) : demand.nowMs >= untilMs;
  return isLate ? leaveReasons.urgent : undefined;
}

/** Chooses a target in another zone if it is better than staying. */
function chooseAway(
  transfers: ZoneTransfers,
  plan: ServicePlan,
  {request, demand}: ZoneChoiceParts,
  reason: LeaveReason,
  away: readonly PooledTarget[],
  stay: PooledTarget | undefined,
): PooledTarget | undefined {
  const pays = (target: PooledTarget | undefined) => {
    if (!target || !stay) return target;
    if (reason === leaveReasons.urgent) {
      return isOnTime(target, demand) ? target : undefined;
    }
    const gainMs =
      estimateCostMs(stay, demand) - estimateCostMs(target, demand);
    return gainMs > leavingPriceMs ? target : undefined;
  };
  if (reason !== leaveReasons.planned) {
    const open = away.filter(({entry: {zone}}) =>
      reason === leaveReasons.homeless
        ? plan.figures.get(zone)?.isCut !== true
        : transfers.isOpen(plan, zone),
    );
    return pays(chooseTarget(open, demand));
  }
  for (const zone of transfers.turns(request.service)) {
    const there = away.filter(({entry}) => entry.zone === zone);
    const target = pays(chooseTarget(there, demand));
    if (target) return target;
  }
  return undefined;
}

function hasZone(targets: Iterable<PooledTarget>, zone: string): boolean {
  for (const {entry} of targets) if (entry.zone === zone) return true;
  return false;
}
