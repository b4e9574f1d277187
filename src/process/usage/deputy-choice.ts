import {candidacyItem} from '../duties/candidacy.js';
import {rendezvousRank} from '../fleet/rendezvous.js';

/** A live host, with its availability zone. */
export interface DeputyCandidate {
  readonly host: string;
  readonly zone: string;
}

/**
 * Chooses the host that receives all counts beside the holder of the duties. It is in another zone, if there is one, and
 * the first there to take over, so that it is the next holder also if the zone of the present one is lost.
 *
 * @param zone - Zone of the holder.
 * @param live - Live hosts without the holder.
 * @returns Name of the host, or `undefined` if there is none.
 */
export function chooseDeputy(
  zone: string,
  live: readonly DeputyCandidate[],
): string | undefined {
  const elsewhere = live.filter(each => each.zone !== zone);
  const candidates = elsewhere.length > 0 ? elsewhere : live;
  const names = candidates.map(({host}) => host);
  return names.find(name => rendezvousRank(candidacyItem, name, names) === 0);
}
