/**
 * Waits until input that has arrived is read. Node.js runs the timers that are due before it reads sockets, so that after a
 * time in which the process did not run, a timer must not be taken for a sign that nothing arrived.
 *
 * @returns A promise that resolves once each socket was read.
 */
export function inputRead(): Promise<void> {
  // The first runs before sockets are read if the caller does.
  return new Promise(resolve => setImmediate(() => setImmediate(resolve)));
}
