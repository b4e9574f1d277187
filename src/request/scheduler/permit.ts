import {IndexedHeap} from './indexed-heap.js';
import type {TargetState} from './target-state.js';
import type {QueuedRequest} from './types.js';
import {tierCount} from '../../version/resources/kinds.js';

/** A permit that is outstanding. */
export interface Permit {
  readonly id: string;
  readonly request: QueuedRequest;
  readonly target: TargetState;
  /** Version of the target at the time of the grant. */
  readonly version: string;
  readonly grantedMs: number;
  /** Cost charged to the organisation, in tokens. */
  readonly cost: number;
  /** Prompt tokens that the target was expected to process, its earlier work included. */
  readonly promptWork: number;
  /** Prompt tokens not expected in the target's cache. */
  readonly uncachedTokens: number;
  /** Generated tokens. */
  tokens: number;
  firstTokenMs: number | undefined;
  lastProgressMs: number;
  /** Number of progress reports after the first token. */
  reports: number;
  preempted: boolean;
  /** Whether the follower declined a preemption: part of the answer was relayed. */
  declined: boolean;
  suspected: boolean;
}

/**
 * Creates the part of a permit that changes while it is outstanding.
 *
 * @param nowMs - Time at which the permit became known.
 * @returns Values of a permit without progress.
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

/** Victims inspected for one preemption; bounds the time of a decision. */
const maxInspected = 32;

/** Outstanding permits, ordered by what their preemption would waste. */
export class PermitTable {
  private readonly permits = new Map<string, Permit>();
  private readonly victims = Array.from(
    {length: tierCount},
    () => new IndexedHeap<Permit>(wastesLess),
  );
  /** Preempted permits that have not ended, by the tier for which they were preempted. */
  private readonly pending = new Map<string, number>();
  /** Permits of idempotent requests by tier. */
  private readonly idempotent = new Array<number>(tierCount).fill(0);
  private readonly pendingCounts = new Array<number>(tierCount).fill(0);

  /** Number of permits. */
  get size(): number {
    return this.permits.size;
  }

  /** Number of preemptions that have not ended and were made for this or a higher tier. */
  pendingFor(tier: number): number {
    let count = 0;
    for (let i = 0; i <= tier; i++) count += this.pendingCounts[i];
    return count;
  }

  /** Whether idempotent work of a lower tier runs, preempted work that has not ended included. */
  runsBelow(tier: number): boolean {
    return this.idempotent.some((count, lower) => lower > tier && count > 0);
  }

  /** Whether work of a lower tier runs that could be preempted. */
  hasVictim(tier: number): boolean {
    return this.victims.some((heap, lower) => lower > tier && heap.size > 0);
  }

  /** All permits. */
  values(): Iterable<Permit> {
    return this.permits.values();
  }

  /** Raises limits: targets that generate tokens for adopted permits bear that many. */
  raiseProvenLimits(): void {
    const proven = new Map<TargetState, number>();
    for (const {target, tokens} of this.permits.values()) {
      if (tokens > 0) proven.set(target, (proven.get(target) ?? 0) + 1);
    }
    for (const [target, count] of proven) target.limit.raiseTo(count);
  }

  /** Finds a permit. */
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

  /** Notes that a permit's progress changed. */
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

  /** Notes that the follower keeps a permit; only a forced preemption can take it now. */
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
   * Finds the running work whose preemption wastes least: the lowest tier, then the least progress.
   *
   * @param tier - Only lower tiers than this are considered.
   * @param useful - Whether a slot at the permit's target would help.
   * @param force - Whether work of which a part was relayed is considered, too.
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

/** Whether part of the answer is known to be relayed; only then are tokens reported. */
function isRelayed(permit: Permit): boolean {
  return permit.declined || permit.tokens > 0;
}

/** Prompt tokens processed and tokens generated that would be lost. */
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
