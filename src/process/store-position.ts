/** Number of offsets of one era; a log that keeps some minutes of records does not reach it. */
const offsetsPerEra = 2 ** 36;
/** Largest offset in a log; a larger one would be a position of the next era. */
export const maxOffset = offsetsPerEra - 1;
/** Largest number of an era with which positions are exact. */
export const maxEra = 2 ** 16;

/**
 * Computes the position of a record. A store that is restored from a copy loses its latest records and gives their
 * offsets to others; it then starts a new era. Positions of a later era are higher, whatever the offsets, so that they can
 * be compared between reads and between hosts.
 *
 * @param era - Number of times that the store was restored.
 * @param offset - Offset of the record in the log.
 */
export function positionOf(era: number, offset: number): number {
  return era * offsetsPerEra + offset;
}

/**
 * Finds the era of a position.
 *
 * @param position - Result of {@link positionOf}.
 */
export function eraOf(position: number): number {
  return Math.floor(position / offsetsPerEra);
}

/**
 * Finds the offset of a position within its era.
 *
 * @param position - Result of {@link positionOf}.
 */
export function offsetOf(position: number): number {
  return position % offsetsPerEra;
}
