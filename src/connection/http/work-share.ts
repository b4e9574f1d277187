/** Time after which parsing of waiting input rests, in milliseconds. */
const maxTurnMs = 5;
/** Maximum part of the processor's time that parsing of waiting input takes. */
const maxShare = 0.5;
/** Longest rest, in milliseconds: a process that was suspended measures the suspension as work. */
const maxRestMs = 100;

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
