/** Time within which the connections end that a process closes by its own end, in milliseconds. */
export const sameEndMs = 20;
/**
 * Time after which bytes of another response show that the target's process goes on, in milliseconds. What it sent before
 * its end may arrive up to here, if packets were lost and sent again.
 */
const resentMs = 400;
/**
 * Longest time for which the end of a response is held back, in milliseconds. Callers wait for the next event of a
 * stream for 2 s or longer.
 */
const maxHeldMs = 1000;

/** What a decision about the end of a response without a length amounts to. */
export const openEndResults = {
  /** The target ended the response, and its process went on. */
  complete: 'complete',
  /** The response probably ended because the target's process did. */
  cutOff: 'cut-off',
  /** What is not known yet will decide. */
  undecided: 'undecided',
} as const;

/** One of {@link openEndResults}. */
export type OpenEndResult =
  (typeof openEndResults)[keyof typeof openEndResults];

/** What is known about a response without a length that ended, and whose target accepts no connections. */
export interface OpenEndView {
  /** Time on the process's clock at which the response ended, in milliseconds. */
  readonly endedAtMs: number;
  /** Time of the latest bytes of any response of the target to this host, in milliseconds. */
  readonly receivedAtMs: number;
  /** Requests of this host at the target whose connections have not ended. */
  readonly openRequests: number;
  /** Other responses of the target that ended within {@link sameEndMs} without stating their end. */
  readonly endedBeside: number;
  /** Time at which this host learnt that the target leaves, in milliseconds; `undefined` if it does not. */
  readonly announcedAtMs: number | undefined;
  /** Time at which this host learnt that the target's entry was removed, in milliseconds. */
  readonly removedAtMs: number | undefined;
}

/**
 * Decides whether a response without a length is complete although its target accepts no connections any more. A target
 * that leaves stops accepting them, answers what it has begun, and its entry is removed when it has ended. One that
 * crashed, or was stopped before its time, closes the connections of all its responses at once, or keeps its entry until
 * it expires.
 *
 * @param view - What is known.
 * @param drainMs - Time for which a target at least goes on serving after it announced that it leaves, in milliseconds.
 * @param nowMs - Time on the process's clock, in milliseconds.
 */
export function decideOpenEnd(
  view: OpenEndView,
  drainMs: number,
  nowMs: number,
): OpenEndResult {
  const {endedAtMs, receivedAtMs, announcedAtMs, removedAtMs} = view;
  const isDue = nowMs - endedAtMs >= maxHeldMs;
  if (receivedAtMs > endedAtMs + resentMs) return openEndResults.complete;
  if (view.openRequests > 0) {
    return isDue ? openEndResults.complete : openEndResults.undecided;
  }
  if (announcedAtMs === undefined) return openEndResults.cutOff;
  if (endedAtMs - announcedAtMs < drainMs) return openEndResults.cutOff;
  if (view.endedBeside > 0) return openEndResults.cutOff;
  if (removedAtMs !== undefined) return openEndResults.complete;
  return isDue ? openEndResults.cutOff : openEndResults.undecided;
}
