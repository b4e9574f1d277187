/** Time after which parsing of waiting input rests, in milliseconds. */
const maxTurnMs = 5;
/** Maximum part of the processor's time that parsing of waiting input takes. */
const maxShare = 0.5;
/** Longest rest, in milliseconds: a process that was suspended measures the suspension as work. */
const maxRestMs = 100;
/** Time that competing inputs may take together, in milliseconds. */
const maxCompetingMs = 3000;
/** Number of inputs that may go on once they have taken more. */
const keptInputs = 2;

/** Input that waits to be parsed. */
export interface WaitingInput {
  /** Time taken by the body that is being parsed, in milliseconds. */
  readonly spentMs: number;
}

/**
 * Decides how long parsing of waiting input rests, so that it leaves a part of the processor to all other work.
 *
 * @param spentMs - Time spent on it since the last rest, in milliseconds.
 * @returns Time to rest, in milliseconds; 0 to go on.
 */
export function restAfterMs(spentMs: number): number {
  if (spentMs < maxTurnMs) return 0;
  return Math.min((spentMs * (1 - maxShare)) / maxShare, maxRestMs);
}

/**
 * Decides which waiting inputs to give up, so that the time until all of them are parsed stays bounded: if they have taken
 * too much time together, all but the cheapest ones.
 *
 * @param inputs - Inputs that wait.
 * @returns The inputs to give up.
 */
export function excessInputs<T extends WaitingInput>(
  inputs: readonly T[],
): readonly T[] {
  if (inputs.length <= keptInputs) return [];
  const totalMs = inputs.reduce((sum, {spentMs}) => sum + spentMs, 0);
  if (totalMs < maxCompetingMs) return [];
  return [...inputs].sort((a, b) => a.spentMs - b.spentMs).slice(keptInputs);
}
