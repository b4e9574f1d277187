import type {PermitTable, Permit} from './permit.js';

/** What decides whether preemptions are needed, and which ones help. */
export interface PreemptionInput {
  /** Tier of the requests that wait. */
  readonly tier: number;
  /** Requests of this and of higher tiers that wait. */
  readonly waiting: number;
  /** Whether the end of one more permit at a permit's target would give a slot to a request. */
  readonly useful: (permit: Permit) => boolean;
}

/**
 * Takes slots back from lower tiers: at most one pending preemption for each request that waits.
 *
 * @param permits - Outstanding permits; the victims are marked.
 * @param input - Who waits, and which slots help.
 * @returns The preempted permits.
 */
export function preemptFor(
  permits: PermitTable,
  input: PreemptionInput,
): Permit[] {
  const victims: Permit[] = [];
  let pending = permits.pendingFor(input.tier);
  while (pending < input.waiting) {
    const victim = permits.victim(input.tier, input.useful);
    if (!victim) break;
    permits.preempt(victim, input.tier);
    victims.push(victim);
    pending++;
  }
  return victims;
}
