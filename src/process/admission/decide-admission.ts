import type {ServiceLoad} from './fleet-load.js';

/** Share of the slots that must be taken for a refusal: below it, a wait has other reasons than overload. */
export const minOccupancy = 0.7;
/** Part of its slots on which a rank can count however much others ask; see the guaranteed share of `RankQueue`. */
const leastSlotPart = 0.1;
/**
 * Multiple of the time to its latest start that a request must be expected to wait to be refused. A wait in vain costs
 * little, because its caller can still return; a request that is refused in error becomes late.
 */
const certainty = 2;
/** Multiple of the equal share from which an organisation is refused before others. */
const shareTolerance = 1.5;

/** What the decision on a request that would wait depends on. */
export interface AdmissionInput {
  /** Time in which it must get a slot to meet its objective, in milliseconds. */
  readonly slackMs: number;
  /** Whether its caller was refused before. */
  readonly isReturn: boolean;
  /** Service of its organisation as a multiple of the equal share. */
  readonly shareRatio: number;
  /** Slots of the service, and how many are taken. */
  readonly slots: number;
  readonly taken: number;
  /** Part of the slots that is this host's, by what its callers ask; from 0 to 1. */
  readonly ownPart: number;
  /** Slot time of requests that wait at this host and go before it, in milliseconds. */
  readonly aheadMs: number;
  /** Slots that more valuable requests take, over all hosts. */
  readonly urgentSlots: number;
}

/**
 * Estimates how long a request waits for a slot: what goes before it at this host, at the rate at which the part of the
 * slots that more valuable requests leave serves it. The backlog of the own host differs from that of others, so hosts
 * with the same sums of the fleet do not all refuse at once.
 *
 * @param input - State on which the decision depends.
 * @returns Time in milliseconds.
 */
export function expectedWaitMs(input: AdmissionInput): number {
  const {aheadMs, ownPart, slots, urgentSlots} = input;
  if (slots <= 0) return 0;
  // Hosts that are more than the slots share them; each has the use of one for its part of the time at least.
  const share = Math.max(1, slots * ownPart);
  const left = Math.max(leastSlotPart, 1 - urgentSlots / slots);
  return aheadMs / (share * left);
}

/**
 * Decides whether a request that finds no free slot is refused at once: if it would start too late for its objective.
 * Organisations over their share are refused before others, but no request that is expected to start in time. A caller
 * that was refused before is not refused again on arrival.
 *
 * @param input - State on which the decision depends.
 * @returns Whether to refuse it.
 */
export function isOverloaded(input: AdmissionInput): boolean {
  const {isReturn, slackMs, slots, taken, shareRatio} = input;
  if (isReturn || slots <= 0 || taken < slots * minOccupancy) return false;
  const excess = Math.max(1, shareRatio / shareTolerance);
  const factor = Math.max(1, certainty / excess);
  return expectedWaitMs(input) > Math.max(0, slackMs) * factor;
}

/** Input of the time after which a refused caller comes back. */
export interface ReturnInput {
  /** Load of the service over all hosts, and its slots. */
  readonly fleet: ServiceLoad;
  readonly slots: number;
  /** Time left to the deadline of the caller, in milliseconds. */
  readonly remainingMs: number;
  /** Random number in [0, 1) that spreads the returns. */
  readonly random: number;
}

/** Shortest time after which callers are asked to return, in milliseconds. */
const minReturnMs = 300;
/** Part of the time to the latest return over which returns are spread. */
const spreadPart = 0.3;
/** Share of the remaining time up to which callers honour Retry-After, with a margin for the way. */
const honouredPart = (1 / 3) * 0.95;

/**
 * Computes after which time a refused caller comes back: towards the end of the time in which the excess of the fleet
 * drains or, while it does not drain, of what callers honour; spread, so that not all come back at once.
 *
 * @param input - State on which the decision depends.
 * @returns Time in milliseconds.
 */
export function spreadReturnMs(input: ReturnInput): number {
  const {fleet, slots, remainingMs, random} = input;
  const limitMs = Math.max(0, remainingMs * honouredPart);
  const waitingMs = sum(fleet.waitingMs);
  const spare = slots - sum(fleet.offeredSlots);
  const drainMs =
    spare > 0 ? (waitingMs + fleet.returningMs) / spare : Infinity;
  const toMs = Math.min(limitMs, Math.max(2 * minReturnMs, drainMs));
  return toMs * (1 - random * spreadPart);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
