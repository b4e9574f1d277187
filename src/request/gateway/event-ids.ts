const idLine = /(?:^|\n)id: ?([^\r\n]*)/g;

/**
 * Finds the last event id in a chunk of a server-sent event stream.
 *
 * @param events - Bytes of one or more complete events.
 * @returns The id, or `undefined` if no event has one.
 */
export function lastEventIdOf(events: Buffer): string | undefined {
  const text = events.toString('latin1');
  let last: string | undefined;
  for (const [, id] of text.matchAll(idLine)) last = id;
  return last;
}
