import {inputRead} from '../../process/input-read.js';

/** Maximum number of connections that wait to be accepted; the default of Node.js. */
const maxBacklog = 511;

/**
 * Waits until the connections that are open already are accepted and their requests are read; the end of listening would
 * reset them. Callers that connect again after a refusal do not prolong it beyond the number of connections that can have
 * waited.
 *
 * @param accepted - Returns the number of connections accepted since the start.
 */
export async function acceptWaiting(accepted: () => number): Promise<void> {
  const first = accepted();
  let before: number;
  do {
    before = accepted();
    await inputRead();
  } while (accepted() > before && before - first < maxBacklog);
}
