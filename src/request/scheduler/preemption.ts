import type {PermitTable, Permit} from './permit.js';

/** What decides whether preemptions are needed, and which ones help. */
export interface PreemptionInput {
  /** Tier of the requests that wait. */
  readonly tier: number;
  /** Requests of this and of higher tiers that wait. */
  readonly waiting: number;
  /** Requests of this tier that are at risk, for which relayed answers are broken off. */
  readonly atRisk: () => number;
  /** Whether the end of one more permit at a permit's target would give a slot to a request. */
  readonly useful: (permit: Permit) => boolean;
}

/** A permit to take back, and whether its follower must obey. */
export interface Victim {
  readonly permit: Permit;
  readonly force: boolean;
}

/**
 * Takes slots back from lower tiers: at most one pending preemption for each request that waits.
 * Work of which nothing was relayed goes first, since it returns to the queue.
 *
 * @param permits - Outstanding permits; the victims are marked.
 * @param input - Who waits, and which slots help.
 * @returns The preempted permits.
 */
export function preemptFor(
  permits: PermitTable,
  input: PreemptionInput,
): Victim[] {
  const {tier, waiting, useful, atRisk} = input;
  const victims: Victim[] = [];
  let pending = permits.pendingFor(tier);
  const preempt = (force: boolean): boolean => {
    const permit = permits.findVictim(tier, useful, force);
    if (!permit) return false;
    permits.preempt(permit, tier);
    victims.push({permit, force});
    pending++;
    return true;
  };
  while (pending < waiting && preempt(false));
  if (pending >= waiting || !permits.hasVictim(tier)) return victims;
  const forced = Math.min(waiting, atRisk());
  while (pending < forced && preempt(true));
  return victims;
}
