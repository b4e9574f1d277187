import type {TestContext} from 'node:test';

/**
 * Replaces the timers of one delay, so that a test runs them at a chosen time, as after a standstill of the process.
 *
 * @param t - Test, at whose end the timers of Node.js are back.
 * @param delayMs - Delay of the timers that are replaced, in milliseconds.
 * @returns A function that runs those that were started, and returns their number.
 */
export function holdTimers(t: TestContext, delayMs: number): () => number {
  const {setTimeout} = globalThis;
  t.after(() => (globalThis.setTimeout = setTimeout));
  const held: (() => void)[] = [];
  globalThis.setTimeout = ((run: () => void, ms?: number) => {
    if (ms !== delayMs) return setTimeout(run, ms);
    held.push(run);
    return setTimeout(() => {}, 0);
  }) as typeof setTimeout;
  return () => {
    const due = held.splice(0);
    for (const run of due) run();
    return due.length;
  };
}
