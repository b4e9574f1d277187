import type {PrefixIndex} from './prefix-index.js';
import {batchOverhead, promptOverheadTokens} from './target-rates.js';
import type {TargetState} from './target-state.js';
import type {TargetTable} from './target-table.js';
import type {QueuedRequest} from './types.js';
import type {VersionCaps} from './version-caps.js';

/** Target chosen for a request, with the estimates behind the choice. */
export interface Choice {
  readonly target: TargetState;
  /** Expected time to the end of the response, in milliseconds. */
  readonly completionMs: number;
  /** Prompt tokens expected in the target's cache. */
  readonly cachedTokens: number;
  /** Prompt tokens that a busy target holds in its cache beyond `cachedTokens`. */
  readonly lostTokens: number;
  /** Busy targets that hold a prefix of the prompt in their cache. */
  readonly busyHolders: readonly TargetState[];
}

/** Inputs of a choice besides the request. */
export interface ChoiceInput {
  readonly targets: TargetTable;
  readonly prefixes: PrefixIndex;
  readonly caps: VersionCaps;
  /** Typical output length of the request, in tokens. */
  readonly outputTokens: number;
  /** Whether a usable target exists that the request does not avoid. */
  readonly othersExist: boolean;
  readonly nowMs: number;
}

/**
 * Chooses the target with the lowest expected completion time plus the delay caused to the other
 * requests there, so that a cached prefix and a small batch are compared in the same unit.
 *
 * @param req - Request to place.
 * @param input - Free targets, their state and the version caps.
 * @returns The best target, or undefined if none may be used.
 */
export function chooseTarget(
  req: QueuedRequest,
  input: ChoiceInput,
): Choice | undefined {
  const {outputTokens, nowMs} = input;
  const {promptTokens, route, avoid} = req;
  const {free} = input.targets;
  const holders =
    req.prefixes.length > 0 ? markCachedShares(req, input) : undefined;
  const blocked = input.caps.exhausted();
  const preferred = input.caps.preferred();
  let bestPreferred = false;
  let best: TargetState | undefined;
  let bestScore = Infinity;
  let bestCompletion = 0;
  let bestCached = 0;
  // Plain arithmetic on the fields of one object: a decision spends most of its time in this loop.
  for (const target of free) {
    const {inFlight, promptTokenMs, slotMs} = target;
    if (blocked !== undefined && blocked.has(target.view.version)) continue;
    if (!target.admits(route, nowMs)) continue;
    if (input.othersExist && avoid.includes(target.view.name)) continue;
    const cachedTokens = Math.floor(promptTokens * target.cachedShare);
    const uncached = promptTokens - cachedTokens;
    const completionMs =
      promptTokenMs * (uncached + target.pendingPrompt + promptOverheadTokens) +
      (outputTokens - 1) * slotMs * (batchOverhead + inFlight + 1);
    const delayToOthers =
      inFlight * (promptTokenMs * uncached + slotMs * outputTokens);
    let score = (completionMs + delayToOthers) * target.riskFactor;
    // A probe is cheap for a lower tier and shows whether the target has recovered.
    if (target.needsProbe && req.tier > 0) score = -1;
    // The share of a version under rollout is the intended split, not only a maximum: evidence for
    // a larger share needs requests.
    const isPreferred =
      preferred !== undefined && target.view.version === preferred;
    if (bestPreferred && !isPreferred) continue;
    if (score < bestScore || isPreferred !== bestPreferred) {
      bestPreferred = isPreferred;
      bestScore = score;
      best = target;
      bestCompletion = completionMs;
      bestCached = cachedTokens;
    }
  }
  let busyCached = 0;
  const busyHolders: TargetState[] = [];
  if (holders) {
    for (const holder of holders) {
      if (!free.has(holder) && holder.view.usable) {
        const tokens = Math.floor(promptTokens * holder.cachedShare);
        busyCached = Math.max(busyCached, tokens);
        busyHolders.push(holder);
      }
      holder.cachedShare = 0;
    }
  }
  if (!best) return undefined;
  return {
    target: best,
    completionMs: bestCompletion,
    cachedTokens: bestCached,
    lostTokens: Math.max(0, busyCached - bestCached),
    busyHolders,
  };
}

/** Sets `cachedShare` of the targets that hold a prefix; a field is faster to read than a map. */
function markCachedShares(
  req: QueuedRequest,
  input: ChoiceInput,
): TargetState[] {
  const holders: TargetState[] = [];
  for (const [name, share] of input.prefixes.lookup(req.prefixes)) {
    const target = input.targets.get(name);
    if (!target) continue;
    target.cachedShare = share;
    holders.push(target);
  }
  return holders;
}
