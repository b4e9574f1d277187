import {IndexedHeap} from './indexed-heap.js';
import type {TargetState} from './target-state.js';
import type {QueuedRequest} from './types.js';
import {tierCount} from '../../version/resources/kinds.js';

/** Outstanding permit with its progress. */
export interface Permit {
  readonly id: string;
  readonly request: QueuedRequest;
  readonly target: TargetState;
  /** Version of the target at the time of the grant. */
  readonly version: string;
  readonly grantedMs: number;
  /** Cost charged to the organisation, in tokens. */
  readonly cost: number;
  /** Prompt tokens to process before the first token, with those pending at the target. */
  readonly promptWork: number;
  /** Prompt tokens not expected in the target's cache. */
  readonly uncachedTokens: number;
  /** Number of generated tokens. */
  tokens: number;
  firstTokenMs: number | undefined;
  lastProgressMs: number;
  /** Number of progress reports after the first token. */
  reports: number;
  /** Whether a preemption is pending. */
  preempted: boolean;
  /** Whether the follower declined a preemption, because part of the response was relayed. */
  declined: boolean;
  /** Whether the target was already reset to cold because this permit made no progress. */
  suspected: boolean;
}

/**
 * Creates the mutable fields of a permit.
 *
 * @param nowMs - Time at which the permit became known.
 * @returns Values for a permit without progress.
 */
export function newPermitState(nowMs: number) {
  return {
    tokens: 0,
    firstTokenMs: undefined,
    lastProgressMs: nowMs,
    reports: 0,
    preempted: false,
    declined: false,
    suspected: false,
  };
}

/** Maximum permits inspected per tier for one preemption; bounds the time of a decision. */
const maxInspected = 32;

/** Outstanding permits; preemptible ones are ordered by the work that a preemption would waste. */
export class PermitTable {
  private readonly permits = new Map<string, Permit>();
  private readonly victims = Array.from(
    {length: tierCount},
    () => new IndexedHeap<Permit>(wastesLess),
  );
  /** Tier for which each permit with a pending preemption was preempted, by permit id. */
  private readonly pending = new Map<string, number>();
  /** Number of permits of idempotent requests by tier. */
  private readonly idempotent = new Array<number>(tierCount).fill(0);
  /** Number of entries of `pending` by tier. */
  private readonly pendingCounts = new Array<number>(tierCount).fill(0);

  /** Number of permits. */
  get size(): number {
    return this.permits.size;
  }

  /** Number of pending preemptions that were made for this or a higher tier. */
  pendingFor(tier: number): number {
    let count = 0;
    for (let i = 0; i <= tier; i++) count += this.pendingCounts[i];
    return count;
  }

  /** Whether an idempotent request of a lower tier runs, even if its preemption is pending. */
  runsBelow(tier: number): boolean {
    return this.idempotent.some((count, lower) => lower > tier && count > 0);
  }

  /** Whether a request of a lower tier runs that could be preempted. */
  hasVictim(tier: number): boolean {
    return this.victims.some((heap, lower) => lower > tier && heap.size > 0);
  }

  /** All outstanding permits. */
  values(): Iterable<Permit> {
    return this.permits.values();
  }

  /** Raises each limit to the number of permits for which the target already generates tokens. */
  raiseProvenLimits(): void {
    const running = new Map<TargetState, number>();
    for (const {target, tokens} of this.permits.values()) {
      if (tokens > 0) running.set(target, (running.get(target) ?? 0) + 1);
    }
    for (const [target, count] of running) target.limit.raiseTo(count);
  }

  /** Returns a permit by its id. */
  get(id: string): Permit | undefined {
    return this.permits.get(id);
  }

  /** Adds a permit. */
  add(permit: Permit): void {
    this.permits.set(permit.id, permit);
    if (permit.request.idempotent) {
      this.victims[permit.request.tier].put(permit);
      this.idempotent[permit.request.tier]++;
    }
  }

  /** Updates the order of permits after the progress of one changed. */
  moved(permit: Permit): void {
    const heap = this.victims[permit.request.tier];
    if (heap.has(permit)) heap.put(permit);
  }

  /** Removes a permit. */
  remove(permit: Permit): void {
    if (!this.permits.delete(permit.id)) return;
    if (permit.request.idempotent) this.idempotent[permit.request.tier]--;
    this.victims[permit.request.tier].remove(permit);
    this.endPending(permit.id);
  }

  /** Records that the follower declined a preemption; only a forced one can end the permit now. */
  declined(permit: Permit): void {
    permit.declined = true;
    permit.preempted = false;
    permit.target.preempting--;
    this.endPending(permit.id);
    this.victims[permit.request.tier].put(permit);
  }

  /** Marks a permit as preempted; `forTier` is undefined if no request waits for its slot. */
  preempt(permit: Permit, forTier: number | undefined): void {
    permit.preempted = true;
    permit.target.preempting++;
    this.victims[permit.request.tier].remove(permit);
    if (forTier === undefined) return;
    this.pending.set(permit.id, forTier);
    this.pendingCounts[forTier]++;
  }

  /**
   * Finds the permit whose preemption wastes the least work: lowest tier, then least progress.
   *
   * @param tier - Only tiers lower than this one are considered.
   * @param useful - Whether a slot at the permit's target would help the waiting request.
   * @param force - Whether permits with a partly relayed response are considered, too.
   */
  findVictim(
    tier: number,
    useful: (permit: Permit) => boolean,
    force = false,
  ): Permit | undefined {
    for (let lower = tierCount - 1; lower > tier; lower--) {
      const heap = this.victims[lower];
      const skipped: Permit[] = [];
      let found: Permit | undefined;
      while (!found && skipped.length < maxInspected) {
        const permit = heap.peek();
        if (!permit || (isRelayed(permit) && !force)) break;
        if (useful(permit)) found = permit;
        else {
          heap.remove(permit);
          skipped.push(permit);
        }
      }
      for (const permit of skipped) heap.put(permit);
      if (found) return found;
    }
    return undefined;
  }

  private endPending(id: string): void {
    const forTier = this.pending.get(id);
    if (forTier === undefined) return;
    this.pending.delete(id);
    this.pendingCounts[forTier]--;
  }
}

/** Whether part of the response is known to be relayed; tokens are reported only then. */
function isRelayed(permit: Permit): boolean {
  return permit.declined || permit.tokens > 0;
}

/** Processed prompt tokens and generated tokens that a preemption would discard. */
function waste(permit: Permit): number {
  return (
    (permit.firstTokenMs === undefined ? 0 : permit.uncachedTokens) +
    permit.tokens
  );
}

function wastesLess(a: Permit, b: Permit): boolean {
  if (isRelayed(a) !== isRelayed(b)) return isRelayed(b);
  const difference = waste(a) - waste(b);
  if (difference !== 0) return difference < 0;
  if (a.grantedMs !== b.grantedMs) return a.grantedMs > b.grantedMs;
  return a.id < b.id;
}
