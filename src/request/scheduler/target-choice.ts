import type {PrefixIndex} from './prefix-index.js';
import type {TargetState} from './target-state.js';
import type {QueuedRequest} from './types.js';
import type {VersionCaps} from './version-caps.js';

/** A target for a request, and what is expected of it there. */
export interface Choice {
  readonly target: TargetState;
  /** Expected time to the end of the answer, in milliseconds. */
  readonly completionMs: number;
  /** Prompt tokens expected in the target's cache. */
  readonly cachedTokens: number;
}

/** What a choice depends on besides the request. */
export interface ChoiceInput {
  readonly targets: Iterable<TargetState>;
  readonly prefixes: PrefixIndex;
  readonly caps: VersionCaps;
  /** Typical output length of the request, in tokens. */
  readonly outputTokens: number;
  /** Whether a usable target exists that the request does not avoid. */
  readonly othersExist: boolean;
  readonly nowMs: number;
}

/**
 * Chooses the target with the lowest expected completion time, to which the delay caused to the
 * other requests there is added, so that a cached prefix and a short batch are weighed in one unit.
 *
 * @param req - Request to place.
 * @param input - Free targets and what is known of them.
 * @returns The best target, or undefined if none may be used.
 */
export function chooseTarget(
  req: QueuedRequest,
  input: ChoiceInput,
): Choice | undefined {
  const cached =
    req.prefixes.length > 0 ? input.prefixes.lookup(req.prefixes) : undefined;
  let best: Choice | undefined;
  let bestScore = Infinity;
  const blocked = input.caps.exhausted();
  for (const target of input.targets) {
    if (blocked?.has(target.view.version)) continue;
    if (!target.admits(req.route, input.nowMs)) continue;
    if (input.othersExist && req.avoid.includes(target.view.name)) continue;
    const share = cached?.get(target.view.name) ?? 0;
    const choice = estimate(req, target, share, input.outputTokens);
    const score = scoreOf(req, choice, input.outputTokens);
    if (score < bestScore) {
      bestScore = score;
      best = choice;
    }
  }
  return best;
}

function estimate(
  req: QueuedRequest,
  target: TargetState,
  cachedShare: number,
  outputTokens: number,
): Choice {
  const {rates, inFlight} = target;
  const cachedTokens = Math.floor(req.promptTokens * cachedShare);
  const uncached = req.promptTokens - cachedTokens;
  const completionMs =
    rates.firstTokenMs(uncached + target.pendingPrompt) +
    (outputTokens - 1) * rates.tokenMs(inFlight + 1);
  return {target, completionMs, cachedTokens};
}

function scoreOf(
  req: QueuedRequest,
  choice: Choice,
  outputTokens: number,
): number {
  const {target, completionMs, cachedTokens} = choice;
  const {rates, breaker} = target;
  // A probe is cheap for a lower tier and tells whether the target has recovered.
  if (breaker.tripped && req.tier > 0) return -1;
  const delayToOthers =
    target.inFlight *
    (rates.perPromptToken * (req.promptTokens - cachedTokens) +
      rates.perBatchSlot * outputTokens);
  const risk = 1 - Math.min(0.95, breaker.failureShare);
  return (completionMs + delayToOthers) / risk;
}
