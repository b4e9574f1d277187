import type {TargetEntry} from '../../version/deployment/types.js';
import {incarnationOf} from './crash-watch.js';

/** Maximum number of addresses that are remembered; those seen first are forgotten first. */
const maxAddresses = 10_000;

/** Finds targets of which another process has taken the place, also after their entries have been removed. */
export class IncarnationTracker {
  private readonly byAddress = new Map<string, TargetEntry>();

  /**
   * Compares targets with those seen before at the same addresses.
   *
   * @param targets - Targets in force.
   * @returns Targets with their incarnations that ended without having announced it.
   */
  observe(targets: Iterable<{readonly entry: TargetEntry}>): string[] {
    const ended: string[] = [];
    for (const {entry} of targets) {
      const known = this.byAddress.get(entry.address);
      // The entry of a process that has ended may still be listed beside that of its successor.
      if (known && known.bornMs > entry.bornMs) continue;
      this.byAddress.set(entry.address, entry);
      if (!known || known.bornMs === entry.bornMs) continue;
      if (known.bornMs > 0 && !known.draining) ended.push(incarnationOf(known));
    }
    for (const address of this.byAddress.keys()) {
      if (this.byAddress.size <= maxAddresses) break;
      this.byAddress.delete(address);
    }
    return ended;
  }
}
