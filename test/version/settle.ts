import type {ManualClock} from '../../stand-ins/manual-clock.js';

/** Runs pending callbacks that do not wait for the clock. */
export async function settle(): Promise<void> {
  for (let i = 0; i < 20; i++)
    await new Promise(resolve => setImmediate(resolve));
}

/** Advances the clock in steps of `stepMs` until a promise has settled. */
export async function runUntil<T>(
  clock: ManualClock,
  promise: Promise<T>,
  stepMs = 10,
): Promise<T> {
  let done = false;
  const end = () => void (done = true);
  promise.then(end, end);
  for (let i = 0; i < 2000 && !done; i++) {
    await settle();
    if (!done) clock.advance(stepMs);
  }
  if (!done) throw new Error('promise has not settled after 2000 steps');
  return promise;
}
