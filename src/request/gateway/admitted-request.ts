import type {Clock} from '../../process/clock.js';
import type {DecisionLog} from '../../process/decision-log.js';
import type {GatewayMetrics} from '../../process/gateway-metrics.js';
import type {QuotaBuckets} from '../../process/limits/quota-buckets.js';
import type {ServiceRetryBudget} from '../../process/limits/service-retry-budget.js';
import type {TargetPool} from '../../process/pool/target-pool.js';
import type {CanaryRouter} from '../../version/deployment/canary-router.js';
import type {CanaryEvaluator} from '../../version/deployment/canary-evaluator.js';
import type {Organisation, Route} from '../../version/deployment/types.js';
import {requestKinds} from '../../version/deployment/types.js';
import type {Dispatcher, SlotRequest} from './dispatcher.js';
import type {RouteStats} from './route-stats.js';
import type {CallerHead, WireFormat} from './wire-format.js';

/** Parts of the process that requests use. */
export interface GatewayRequestParts {
  readonly clock: Clock;
  readonly random: () => number;
  readonly wire: WireFormat;
  readonly dispatcher: Dispatcher;
  readonly pool: TargetPool;
  readonly quotas: QuotaBuckets;
  readonly retryBudget: ServiceRetryBudget;
  readonly canaryRouter: CanaryRouter;
  readonly canaryEvaluator: CanaryEvaluator;
  readonly stats: RouteStats;
  readonly metrics: GatewayMetrics;
  readonly decisions: DecisionLog;
  readonly isDraining: () => boolean;
}

/** An admitted request. */
export interface AdmittedRequest {
  readonly head: CallerHead;
  readonly method: string;
  readonly url: string;
  readonly body: Buffer;
  readonly route: Route;
  readonly service: string;
  /** Tokens in one event of the service's streams. */
  readonly tokensPerEvent: number;
  readonly organisation?: Organisation;
  /** Time of its arrival, on the process's clock. */
  readonly arrivedMs: number;
}

/**
 * Part of the objective up to which a request that waits counts as one that can meet it. The rest
 * covers what differs between targets; without it those that waited longest were answered just late.
 */
const waitObjectiveShare = 0.6;

/**
 * Tells when a request ends whatever became of it.
 *
 * @param request - The request.
 * @returns Time, on the process's clock.
 */
export function computeDeadlineAtMs({
  route,
  head,
  arrivedMs,
}: AdmittedRequest): number {
  return arrivedMs + Math.min(route.timeoutMs, head.deadlineMs ?? Infinity);
}

/**
 * Part of the route's time that callers state on a first attempt at least; they differ in patience by
 * some 15 % on the deployments measured. One that states less was refused before and came back.
 */
const firstAttemptShare = 0.84;

/**
 * Tells how long a caller has been waiting before this request, from the time that it has left.
 *
 * @param request - The request.
 * @returns Time, in milliseconds; 0 for a first attempt.
 */
export function priorWaitMs({route, head}: AdmittedRequest): number {
  const {deadlineMs} = head;
  if (deadlineMs === undefined) return 0;
  const isFirst = deadlineMs >= route.timeoutMs * firstAttemptShare;
  return isFirst ? 0 : route.timeoutMs - deadlineMs;
}

/**
 * Part of the burst that a request which came back leaves to first attempts. Those can still meet their
 * objective; while an organisation asks for more than its quota, one of the two is refused anyway.
 */
export const retryQuotaReserve = 0.3;

/**
 * Counts what a request takes from the quota of its organisation.
 *
 * @param request - The request.
 * @returns Tokens, or 1 where requests are counted.
 */
export function quotaUnits({head, organisation}: AdmittedRequest): number {
  if (!organisation?.countsTokens) return 1;
  return head.countsTokens
    ? head.promptTokens + head.maxOutputTokens
    : organisation.plainTokens;
}

/**
 * Estimates how many tokens a request will generate.
 *
 * @param request - The request.
 * @param stats - What requests of its route usually generate.
 * @returns Tokens; 0 for plain services.
 */
function estimateOutputTokens(
  {head, route}: AdmittedRequest,
  stats: RouteStats,
): Pick<SlotRequest, 'outputTokens' | 'longOutputTokens'> {
  if (route.kind !== requestKinds.stream) {
    return {outputTokens: 0, longOutputTokens: 0};
  }
  const {mean, long} = stats.length(route.name, head.expectedOutputTokens);
  const most = head.maxOutputTokens || Infinity;
  return {
    outputTokens: Math.max(1, Math.min(mean, most)),
    longOutputTokens: Math.max(1, Math.min(long, most)),
  };
}

/**
 * Describes what a request asks of the pool.
 *
 * @param request - The request.
 * @param stats - What requests of its route usually take.
 * @param use - How it may be placed.
 */
export function toSlotRequest(
  request: AdmittedRequest,
  stats: RouteStats,
  use: Pick<SlotRequest, 'untilMs' | 'exclude' | 'trial'>,
): SlotRequest {
  const {head, route, service, organisation, arrivedMs} = request;
  const stream = route.kind === requestKinds.stream;
  const spentMs = priorWaitMs(request);
  return {
    ...use,
    service,
    rank: route.rank,
    organisationRank: organisation?.rank ?? 0,
    costMs: stats.slotMs(route.name, stream),
    dueAtMs:
      arrivedMs +
      route.objectiveMs * waitObjectiveShare -
      spentMs -
      stats.firstMs(route.name),
    objectiveMs: route.objectiveMs,
    deadlineAtMs: computeDeadlineAtMs(request),
    promptTokens: head.promptTokens,
    ...estimateOutputTokens(request, stats),
    session: head.parts.at(-1)?.id,
    regions: route.regions,
  };
}
