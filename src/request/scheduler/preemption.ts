import type {PermitTable, Permit} from './permit.js';

/** Inputs that determine whether preemptions are needed and which ones help. */
export interface PreemptionInput {
  /** Tier of the waiting requests. */
  readonly tier: number;
  /** Number of waiting requests of this and higher tiers that need a slot. */
  readonly waiting: number;
  /** Number of requests of this tier at risk, for which partly relayed responses are aborted. */
  readonly atRisk: () => number;
  /** Whether preempting the permit would free a slot that a waiting request can use. */
  readonly useful: (permit: Permit) => boolean;
}

/** Permit to preempt, and whether its follower must comply. */
export interface Victim {
  readonly permit: Permit;
  readonly force: boolean;
}

/**
 * Preempts permits of lower tiers, with at most one pending preemption per waiting request. Permits
 * without a relayed response go first, because their requests return to the queue.
 *
 * @param permits - Outstanding permits; the victims are marked as preempted.
 * @param input - Waiting requests, and which slots help them.
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
