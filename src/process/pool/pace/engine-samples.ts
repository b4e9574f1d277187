import {maxTokenSlowdown} from '../choose-target.js';
import type {PooledTarget} from '../pooled-target.js';

/** A complete stream of an engine. */
export interface StreamSample {
  /** Monotonic times at which the request was sent, and of its first event and its end, in milliseconds. */
  readonly startMs: number;
  readonly firstAtMs: number;
  readonly endMs: number;
  readonly events: number;
  readonly tokensPerEvent: number;
  /** Prompt tokens that the engine had to read when the request was sent, with its own. */
  readonly promptTokens: number;
}

/** Minimum number of events of a stream from which the token time of its target is estimated. */
const minEvents = 3;

/**
 * Learns the usual speed of an engine from a stream. Its times are divided by the pace that the target stated meanwhile
 * and by the slowdown of its load.
 *
 * @param target - Engine whose speed is learnt.
 * @param sample - Stream from the engine.
 */
export function sampleStream(target: PooledTarget, sample: StreamSample): void {
  const {startMs, firstAtMs, endMs, events, tokensPerEvent} = sample;
  // A stream that another engine began says nothing about the first event of this one.
  if (events === 0 || firstAtMs < startMs) return;
  const {speed} = target;
  const slowdown = 1 + maxTokenSlowdown * (target.loadAt(endMs) / target.slots);
  if (events >= minEvents) {
    // The tokens of the first event were generated before it came.
    const tokens = (events - 1) * tokensPerEvent;
    const tokenMs =
      (endMs - firstAtMs) / tokens / speed.meanFactor(firstAtMs, endMs);
    target.sampleTokenMs(tokenMs / slowdown);
  }
  speed.reading?.observe({
    tokens: sample.promptTokens,
    firstMs: (firstAtMs - startMs) / speed.meanFactor(startMs, firstAtMs),
    tokenMs: target.tokenMs,
    eventTokens: tokensPerEvent,
    eventMs: tokensPerEvent * target.tokenMs * slowdown,
  });
}
