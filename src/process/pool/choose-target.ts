import type {PooledTarget} from './pooled-target.js';

/** What the choice of a target depends on. */
export interface PlacementRequest {
  /** Tokens of the prompt; 0 for plain services. */
  readonly promptTokens: number;
  /** Tokens that will probably be generated; 0 for plain services. */
  readonly outputTokens: number;
  /** Tokens that most answers of its kind stay below. */
  readonly longOutputTokens: number;
  /** Time to the first event that the caller aims at, in milliseconds. */
  readonly objectiveMs: number;
  /** Time until the caller or the route ends the request, in milliseconds. */
  readonly remainingMs: number;
  /** Target that has probably cached the prompt. */
  readonly cachedAt?: string;
  /** Availability zone of the host. */
  readonly zone: string;
  /** Time on the process's clock, in milliseconds. */
  readonly nowMs: number;
  /** Price of a target for reasons of this host, in milliseconds. */
  readonly penaltyMs?: (target: PooledTarget) => number;
}

/** Time for one token of a target that has not been measured, in milliseconds. */
const defaultTokenMs = 4.5;
/** Time of an answer of a plain service that has not been measured, in milliseconds. */
const defaultResponseMs = 25;
/** Prompt tokens that an engine reads in the time of one generated token. */
const promptTokensPerOutputToken = 300;
/** Growth of the time of a token from an idle to a full engine, seen in measurements at 11 slots. */
const maxTokenSlowdown = 0.4;
/** Growth of the time of a plain answer from an idle to a full target. */
const maxResponseSlowdown = 1;
/** Part of the objective that a first event may take before it is taken for late. */
const firstEventObjectiveShare = 0.7;
/** Price of each millisecond by which a first event would be late. */
const latePenaltyFactor = 8;
/** Price of each millisecond by which an answer would not be whole when the request ends. */
const unfinishedPenaltyFactor = 20;
/** Part of the time to read a prompt by which each running request is slowed down. */
const interferenceShare = 0.3;
/** Price of a failure in the cost of a choice, in milliseconds. */
const failurePenaltyMs = 4000;
/** Price of a target in another zone, in milliseconds: its round trips and the bytes between zones. */
const crossZonePenaltyMs = 6;

/**
 * Estimates how long a request would take at a target.
 *
 * @param target - Target to judge.
 * @param request - What the request needs.
 * @returns Time, in milliseconds, with failures and distance priced in.
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
    return responseMs * (1 + maxResponseSlowdown * usage) + zoneMs + riskMs;
  }
  const tokenMs = target.tokenMs || defaultTokenMs;
  const uncachedTokens =
    request.cachedAt === target.entry.id ? 0 : request.promptTokens;
  const readMs = (uncachedTokens * tokenMs) / promptTokensPerOutputToken;
  // Prompts are read in parts by turns, so those that came before delay the first event.
  const firstMs =
    readMs +
    (target.pendingPromptTokens * tokenMs) / promptTokensPerOutputToken;
  const lateMs = Math.max(
    0,
    firstMs - request.objectiveMs * firstEventObjectiveShare,
  );
  const loadedTokenMs = tokenMs * (1 + maxTokenSlowdown * usage);
  const streamMs = request.outputTokens * loadedTokenMs;
  // An answer that is longer than expected must still end in time; what was done of it is lost otherwise.
  const longMs = request.longOutputTokens * loadedTokenMs;
  const interferenceMs = interferenceShare * readMs * load;
  const unfinishedMs = Math.max(0, firstMs + longMs - request.remainingMs);
  return (
    firstMs +
    streamMs +
    latePenaltyFactor * lateMs +
    unfinishedPenaltyFactor * unfinishedMs +
    interferenceMs +
    zoneMs +
    riskMs
  );
}

/**
 * Chooses the target at which a request would be done soonest.
 *
 * @param targets - Targets with room for the request.
 * @param demand - What the request needs.
 * @returns The target, or `undefined` if there is none.
 */
export function chooseTarget(
  targets: Iterable<PooledTarget>,
  demand: PlacementRequest,
): PooledTarget | undefined {
  let best: PooledTarget | undefined;
  let bestCost = Infinity;
  for (const target of targets) {
    const cost =
      estimateCostMs(target, demand) + (demand.penaltyMs?.(target) ?? 0);
    if (cost < bestCost) {
      best = target;
      bestCost = cost;
    }
  }
  return best;
}
