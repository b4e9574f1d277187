const idLine = /(?:^|\n)id: ?([^\r\n]*)/g;

/**
 * Finds the id of the last event in whole events of a stream.
 *
 * @param events - Whole events as received.
 * @returns The id, or `undefined` if no event has one.
 */
export function lastEventIdOf(events: Buffer): string | undefined {
  const text = events.toString('latin1');
  let last: string | undefined;
  for (const [, id] of text.matchAll(idLine)) last = id;
  return last;
}
