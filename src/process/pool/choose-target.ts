import type {PooledTarget} from './pooled-target.js';

/** Properties of a request on which the choice of its target depends. */
export interface PlacementRequest {
  /** Tokens of the prompt; 0 for plain services. */
  readonly promptTokens: number;
  /** Expected number of generated tokens; 0 for plain services. */
  readonly outputTokens: number;
  /** Output tokens that five of six such responses stay below. */
  readonly longOutputTokens: number;
  /** Target time to the first event, in milliseconds. */
  readonly objectiveMs: number;
  /** Time to the deadline of the caller or the route, in milliseconds. */
  readonly remainingMs: number;
  /** Id of the target that has probably cached the prompt. */
  readonly cachedAt?: string;
  /** Availability zone of the host. */
  readonly zone: string;
  /** Current time on the process's clock, in milliseconds. */
  readonly nowMs: number;
  /** Additional cost of a target for this request, in milliseconds; negative for an advantage. */
  readonly penaltyMs?: (target: PooledTarget) => number;
  /** Random number in [0, 1) by which one of several nearly equal targets is chosen; absent to choose the best. */
  readonly random?: () => number;
}

/** Time per output token of an engine without samples, in milliseconds. */
export const defaultTokenMs = 4.5;
/** Response time of a plain service without samples, in milliseconds. */
const defaultResponseMs = 25;
/** Prompt tokens that an engine processes in the time of one output token. */
export const promptTokensPerOutputToken = 300;
/** Relative increase of the token time from an idle to a full engine of 11 slots. */
export const maxTokenSlowdown = 0.4;
/** Relative increase of the response time of a plain service from an idle to a full target. */
const maxResponseSlowdown = 1;
/** Share of the objective from which the expected first event counts as late. */
const firstEventObjectiveShare = 0.7;
/** Cost per millisecond by which the first event would be late. */
const latePenaltyFactor = 8;
/** Cost per millisecond by which a long response would exceed the deadline. */
const unfinishedPenaltyFactor = 20;
/** Share of the prompt processing time by which each running request is delayed. */
const interferenceShare = 0.3;
/** Cost of a failed attempt, in milliseconds; weighted by the failure rate of the target. */
const failurePenaltyMs = 4000;
/** Cost of a target in another zone, in milliseconds: round trips and traffic between zones. */
const crossZonePenaltyMs = 6;
/** Difference of the costs of nearly equal targets: at least, at most, and as a share of the lowest cost. */
const minEqualMs = 2;
const maxEqualMs = 30;
const equalShare = 0.03;

/**
 * Estimates the cost of a request at a target.
 *
 * @param target - Target to assess.
 * @param request - Properties of the request.
 * @returns Expected time in milliseconds, plus penalties for lateness, failures and distance.
 */
export function estimateCostMs(
  target: PooledTarget,
  request: PlacementRequest,
): number {
  const load = target.loadAt(request.nowMs);
  const usage = load / target.slots;
  const zoneMs = target.entry.zone === request.zone ? 0 : crossZonePenaltyMs;
  const riskMs = target.failureRate * failurePenaltyMs;
  if (request.outputTokens === 0) {
    const responseMs = target.responseMs || defaultResponseMs;
    const workMs = responseMs * (1 + maxResponseSlowdown * usage);
    return target.speed.stretch(workMs, request.nowMs) + zoneMs + riskMs;
  }
  const {readMs, firstMs, streamMs} = estimateTimes(target, request);
  const lateMs = Math.max(
    0,
    firstMs - request.objectiveMs * firstEventObjectiveShare,
  );
  // A response that is longer than expected must still meet the deadline, or its work is lost.
  const longMs = streamMs(request.longOutputTokens);
  const interferenceMs = interferenceShare * readMs * load;
  const unfinishedMs = Math.max(0, firstMs + longMs - request.remainingMs);
  return (
    firstMs +
    streamMs(request.outputTokens) +
    latePenaltyFactor * lateMs +
    unfinishedPenaltyFactor * unfinishedMs +
    interferenceMs +
    zoneMs +
    riskMs
  );
}

/**
 * Estimates the time from sending a request to an engine until the end of its response.
 *
 * @param target - Engine to assess, at its present load.
 * @param request - Properties of the request.
 * @param outputTokens - Length of the response, in tokens.
 * @returns Time in milliseconds.
 */
export function estimateCompletionMs(
  target: PooledTarget,
  request: PlacementRequest,
  outputTokens: number,
): number {
  const {firstMs, streamMs} = estimateTimes(target, request);
  return firstMs + streamMs(outputTokens);
}

/**
 * Checks whether a request is expected to meet its objective at a target.
 *
 * @param target - Target to assess, at its present load.
 * @param request - Properties of the request.
 */
export function isOnTime(
  target: PooledTarget,
  request: PlacementRequest,
): boolean {
  if (request.outputTokens === 0) {
    const responseMs = target.responseMs || defaultResponseMs;
    const {nowMs, objectiveMs} = request;
    return target.speed.stretch(responseMs, nowMs) <= objectiveMs;
  }
  const {firstMs} = estimateTimes(target, request);
  return firstMs <= request.objectiveMs * firstEventObjectiveShare;
}

/** Estimates the times of a request at an engine, all in milliseconds. */
function estimateTimes(
  target: PooledTarget,
  {cachedAt, nowMs, promptTokens}: PlacementRequest,
): {
  /** Time to process the prompt. */
  readonly readMs: number;
  /** Time to the first event. */
  readonly firstMs: number;
  /** Time from the first event to the end of a response with a number of tokens, at the present load. */
  readonly streamMs: (outputTokens: number) => number;
} {
  const idleTokenMs = target.tokenMs || defaultTokenMs;
  const usage = target.loadAt(nowMs) / target.slots;
  const uncachedTokens = cachedAt === target.entry.id ? 0 : promptTokens;
  const {reading} = target.speed;
  const readTokens =
    reading?.promptTokensPerTokenTime ?? promptTokensPerOutputToken;
  const readMs = (uncachedTokens * idleTokenMs) / readTokens;
  // Engines process pending prompts in turns, piece by piece, so earlier ones delay the first event.
  const pendingMs = (target.pendingPromptTokens * idleTokenMs) / readTokens;
  const tokenMs = idleTokenMs * (1 + maxTokenSlowdown * usage);
  // The engine generates all tokens of the first event before it sends it.
  const firstTokens = reading?.firstEventTokens ?? 0;
  const workMs = readMs + pendingMs + firstTokens * tokenMs;
  const firstMs = target.speed.stretch(workMs, nowMs);
  return {
    readMs,
    firstMs,
    streamMs: outputTokens => {
      const restMs = Math.max(0, outputTokens - firstTokens) * tokenMs;
      if (firstMs === workMs) return restMs;
      return target.speed.stretch(workMs + restMs, nowMs) - firstMs;
    },
  };
}

/**
 * Chooses the target with the lowest cost for a request. With random numbers, it chooses one of those whose costs are
 * nearly as low, so that hosts that know the same figures do not all choose the same target.
 *
 * @param targets - Targets with a free slot.
 * @param request - Properties of the request.
 * @returns The target, or `undefined` if `targets` is empty.
 */
export function chooseTarget(
  targets: Iterable<PooledTarget>,
  request: PlacementRequest,
): PooledTarget | undefined {
  const {random} = request;
  let best: PooledTarget | undefined;
  let bestCost = Infinity;
  const costs: [PooledTarget, number][] = [];
  for (const target of targets) {
    const cost =
      estimateCostMs(target, request) + (request.penaltyMs?.(target) ?? 0);
    if (random) costs.push([target, cost]);
    if (cost < bestCost) {
      best = target;
      bestCost = cost;
    }
  }
  if (!random) return best;
  const marginMs = Math.max(minEqualMs, bestCost * equalShare);
  const limit = bestCost + Math.min(maxEqualMs, marginMs);
  const equals = costs.filter(([, cost]) => cost <= limit);
  return equals.length > 1
    ? equals[Math.floor(random() * equals.length)][0]
    : best;
}
