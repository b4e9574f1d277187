import type {TargetEntry} from './types.js';

/**
 * Checks whether two entries of a target state the same, apart from what changes with the time.
 *
 * @param a - One entry.
 * @param b - Other entry.
 */
export function isSameEntry(a: TargetEntry, b: TargetEntry): boolean {
  return identityOf(a) === identityOf(b);
}

/**
 * Joins the fields of an entry that do not change with the time, and whether it states a cold time at all.
 *
 * @param entry - Entry of a target.
 */
export function identityOf(entry: TargetEntry): string {
  const {id, address, service, zone, version, slots, draining, bornMs} = entry;
  const isCold = entry.coldMs > 0;
  return `${id} ${address} ${service} ${zone} ${version} ${slots} ${draining} ${bornMs} ${isCold}`;
}
