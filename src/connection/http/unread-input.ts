import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '../../process/clock.js';
import type {PacedInput} from './paced-input.js';

/** Time for which an ended connection is still read, so that late bytes do not reset it, in milliseconds. */
const lingerMs = 1000;
/** Maximum time for the rest of a body after the response, in milliseconds. */
const maxRestMs = 5000;
/** Maximum size of the rest of a body after the response, and of what arrives on an ended connection, in bytes. */
const maxRestBytes = 4 * 1024 * 1024;

/**
 * Makes the end of a connection wait for its caller, so that the last response reaches it. Node.js destroys the socket at
 * once after the last response; bytes that arrive then reset the connection, and the caller may lose the response.
 *
 * @param socket - Connection that the HTTP server of Node.js has just set up.
 * @param input - Its input.
 * @param clock - Provides the timer.
 */
export function lingerAtEnd(
  socket: Socket,
  input: PacedInput,
  clock: Clock,
): void {
  let cancel = () => {};
  socket.destroySoon = () => {
    socket.end();
    input.limit(maxRestBytes);
    cancel();
    cancel = clock.after(lingerMs, () => socket.destroy());
  };
  socket.once('close', () => cancel());
}

/**
 * Limits the rest of a body whose request is answered before the body ends. Nothing but its framing tells where the next
 * request begins, so it has to be read.
 *
 * @param req - Request with an incomplete body.
 * @param input - Input of its connection.
 * @param clock - Provides the timer.
 * @param onExceeded - Called if the body does not end within the limits; the input is stopped then.
 */
export function limitRest(
  req: IncomingMessage,
  input: PacedInput,
  clock: Clock,
  onExceeded: () => void,
): void {
  const cancel = clock.after(maxRestMs, () => {
    input.stop();
    onExceeded();
  });
  input.limit(maxRestBytes, () => {
    cancel();
    onExceeded();
  });
  req.once('end', () => {
    cancel();
    if (!req.socket.writableEnded) input.limit(Infinity);
  });
  req.once('close', cancel);
}
