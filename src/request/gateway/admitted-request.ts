import type {ServerResponse} from 'node:http';
import type {Scheduling} from '../../process/admission/create-scheduling.js';
import type {CallerMemory} from '../../connection/http/caller-memory.js';
import type {Body} from '../../process/body-blocks.js';
import type {Clock} from '../../process/clock.js';
import type {CrashWatch} from '../../process/crashes/crash-watch.js';
import type {DecisionLog} from '../../process/decision-log.js';
import type {GatewayMetrics} from '../../process/gateway-metrics.js';
import type {QuotaBuckets} from '../../process/limits/quota-buckets.js';
import type {ServiceRetryBudget} from '../../process/limits/service-retry-budget.js';
import type {DemandObserver} from '../../process/pool-size/demand-meter.js';
import type {TargetPool} from '../../process/pool/target-pool.js';
import type {RelayHosts} from '../../process/reach/relay-hosts.js';
import type {CanaryRouter} from '../../version/deployment/canary-router.js';
import type {CanaryEvaluator} from '../../version/deployment/canary-evaluator.js';
import type {Organisation, Route} from '../../version/deployment/types.js';
import {requestKinds} from '../../version/deployment/types.js';
import type {Dispatcher, SlotRequest} from './dispatcher.js';
import type {OpenEndOptions} from './open-end-check.js';
import type {RelayWay} from './relayed/relay-attempt.js';
import type {RouteStats} from './route-stats.js';
import {maxResumeWaitMs, maxWaitMs, streamPatienceMs} from './wait-policy.js';
import type {CallerHead, WireFormat} from './wire-format.js';

/** Dependencies that all requests of a host share. */
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
  readonly crashWatch: CrashWatch;
  /** Hosts through which requests go while this one reaches no target; absent if none may be used. */
  readonly relays?: RelayHosts;
  /** Absent in a deployment that does not order targets. */
  readonly demand?: DemandObserver;
  /** Order and admission of requests; as without them if absent. */
  readonly scheduling?: Pick<Scheduling, 'shares' | 'admission'>;
  /** Memory that callers hold. */
  readonly memory: CallerMemory;
  /**
   * Returns whether the connection closes after a response whose head is about to be sent; `isRequired` if it cannot be
   * used any longer.
   */
  readonly closesAfter: (res: ServerResponse, isRequired?: boolean) => boolean;
  /** Time on the process's clock at which open requests are ended, in milliseconds; infinite while the host does not stop. */
  readonly stopsAtMs: () => number;
  /** Maximum time from an event at its target until it reaches the caller, in milliseconds; 0 if there is no such bound. */
  readonly eventDelayMs: number;
  /** What the checks of responses without a length need. */
  readonly openEnds: OpenEndOptions;
  /** How requests are sent through these hosts; present with {@link relays}. */
  readonly relayWay?: RelayWay;
  /** Called for each request that a target began, with the time on the process's clock, in milliseconds. */
  readonly onBegun?: (organisation: string, atMs: number) => void;
}

/** A request that passed routing, authentication and the size limits. */
export interface AdmittedRequest {
  readonly head: CallerHead;
  readonly method: string;
  readonly url: string;
  readonly body: Body;
  readonly route: Route;
  readonly service: string;
  /** Version of the configuration that routed it. */
  readonly configVersion: number;
  /** Tokens in one event of the service's streams; 1 for plain services. */
  readonly tokensPerEvent: number;
  readonly organisation?: Organisation;
  /** Recognize the request and its prompt parts when they come again; the most specific first. */
  readonly fingerprints: readonly string[];
  /** Arrival time on the process's clock, in milliseconds. */
  readonly arrivedMs: number;
}

/**
 * Share of the objective after which a waiting request counts as late. The rest is a margin for the
 * differences between targets: without it, the longest-waiting requests just missed their objective.
 */
const lateObjectiveShare = 0.6;

/**
 * Computes a request's deadline: the earlier of the route's timeout and the caller's own deadline.
 *
 * @param request - Request whose route and headers set the deadline.
 * @returns Time on the process's clock, in milliseconds.
 */
export function computeDeadlineAtMs({
  route,
  head,
  arrivedMs,
}: Pick<AdmittedRequest, 'route' | 'head' | 'arrivedMs'>): number {
  return arrivedMs + Math.min(route.timeoutMs, head.deadlineMs ?? Infinity);
}

/**
 * Minimum share of the route's timeout that callers state as deadline on a first attempt. Their
 * patience varies by some 15 %, so a request with a shorter deadline is the retry of a refused one.
 */
const firstAttemptShare = 0.84;

/**
 * Estimates how long a caller had already waited before it sent this request. A caller that retries
 * states the time it has left as the deadline.
 *
 * @param request - Request with the stated deadline.
 * @returns Time in milliseconds; 0 for a first attempt.
 */
export function priorWaitMs({route, head}: AdmittedRequest): number {
  const {deadlineMs} = head;
  if (deadlineMs === undefined) return 0;
  const isFirst = deadlineMs >= route.timeoutMs * firstAttemptShare;
  return isFirst ? 0 : route.timeoutMs - deadlineMs;
}

/**
 * Share of the burst that callers' retries leave to first attempts. First attempts can still meet their
 * objective; while an organisation exceeds its quota, either they or the retries are refused anyway.
 */
const retryQuotaReserve = 0.3;

/**
 * Computes how much of its organisation's quota a request uses.
 *
 * @param request - Request with its organisation and stated tokens.
 * @returns Tokens, or 1 if the quota counts requests.
 */
export function quotaUnits({head, organisation}: AdmittedRequest): number {
  if (!organisation?.countsTokens) return 1;
  return head.countsTokens
    ? head.promptTokens + head.maxOutputTokens
    : organisation.plainTokens;
}

/**
 * Charges a request to the quota of its organisation, if it has one. Counts it as demand if the quota covers it and its
 * caller has not been refused before.
 *
 * @param parts - Quotas of all organisations, and the observer of the demand.
 * @param request - Request with its organisation.
 * @param units - What it uses, from {@link quotaUnits}.
 * @param nowMs - Time on the process's clock, in milliseconds.
 * @returns Time until the quota covers it, in milliseconds; 0 if it was charged.
 */
export function takeQuota(
  {
    demand,
    quotas,
    stats,
  }: Pick<GatewayRequestParts, 'demand' | 'quotas' | 'stats'>,
  request: AdmittedRequest,
  units: number,
  nowMs: number,
): number {
  const {organisation, route, service} = request;
  const isRepeated = priorWaitMs(request) > 0;
  let waitMs = 0;
  if (organisation && organisation.ratePerSecond > 0) {
    const {name, ratePerSecond: rate, burst} = organisation;
    const reserve = isRepeated ? retryQuotaReserve : 0;
    waitMs = quotas.take(name, {rate, burst}, units, nowMs, reserve);
  }
  if (waitMs === 0 && !isRepeated) {
    const isStream = route.kind === requestKinds.stream;
    demand?.arrived(service, stats.slotMs(route.name, isStream));
  }
  return waitMs;
}

/**
 * Estimates how many tokens a request will generate.
 *
 * @param request - Request with the caller's estimate and limit, if stated.
 * @param stats - Response lengths of each route.
 * @returns Mean and long estimate in tokens; 0 for plain services.
 */
function estimateOutputTokens(
  {head, route}: AdmittedRequest,
  stats: RouteStats,
): Pick<SlotRequest, 'outputTokens' | 'longOutputTokens'> {
  if (route.kind !== requestKinds.stream) {
    return {outputTokens: 0, longOutputTokens: 0};
  }
  const {mean, long} = stats.length(route.name, head.expectedOutputTokens);
  const maxTokens = head.maxOutputTokens || Infinity;
  return {
    outputTokens: Math.max(1, Math.min(mean, maxTokens)),
    longOutputTokens: Math.max(1, Math.min(long, maxTokens)),
  };
}

/**
 * Builds the request for a slot of the target pool.
 *
 * @param request - Request to place.
 * @param stats - Response times and lengths of each route.
 * @param use - Wait limit, excluded targets and canary assignment of this attempt.
 * @returns The slot request.
 */
export function toSlotRequest(
  request: AdmittedRequest,
  stats: RouteStats,
  use: Pick<SlotRequest, 'untilMs' | 'exclude' | 'trial'>,
): SlotRequest {
  const {head, route, service, organisation, arrivedMs} = request;
  const stream = route.kind === requestKinds.stream;
  const waitedMs = priorWaitMs(request);
  return {
    ...use,
    service,
    rank: route.rank,
    organisationRank: organisation?.rank ?? 0,
    organisation: organisation?.name,
    costMs: stats.slotMs(route.name, stream),
    dueAtMs:
      arrivedMs +
      route.objectiveMs * lateObjectiveShare -
      waitedMs -
      stats.firstMs(route.name),
    startByMs:
      arrivedMs + route.objectiveMs - waitedMs - stats.firstMs(route.name),
    isReturn: waitedMs > 0,
    objectiveMs: route.objectiveMs,
    deadlineAtMs: computeDeadlineAtMs(request),
    bodyBytes: request.body.length,
    promptTokens: head.promptTokens,
    ...estimateOutputTokens(request, stats),
    session: head.parts.at(-1)?.id,
    regions: route.regions,
  };
}

/**
 * Builds the request for a slot for which the request may wait.
 *
 * @param parts - Clock and statistics.
 * @param request - Request to place.
 * @param use - Excluded targets and canary assignment of this attempt.
 * @param silentMs - Time since the last event if the caller has received a part of a stream, in milliseconds.
 * @returns The slot request, with its wait limit.
 */
export function toWaitingRequest(
  {clock, scheduling, stats}: GatewayRequestParts,
  request: AdmittedRequest,
  use: Pick<SlotRequest, 'exclude' | 'trial'>,
  silentMs: number | undefined,
): SlotRequest {
  const {route} = request;
  const nowMs = clock.nowMs();
  const remainingMs = computeDeadlineAtMs(request) - nowMs;
  const responseMs = stats.firstMs(route.name);
  const waitLimitMs =
    silentMs === undefined
      ? maxWaitMs({
          objectiveMs: route.objectiveMs,
          remainingMs,
          responseMs,
          isRetry: priorWaitMs(request) > 0,
          waitsOut: scheduling?.admission !== undefined,
          stream: route.kind === requestKinds.stream,
        })
      : maxResumeWaitMs({
          patienceMs: streamPatienceMs(route),
          silentMs,
          remainingMs,
          responseMs,
        });
  return toSlotRequest(request, stats, {...use, untilMs: nowMs + waitLimitMs});
}
