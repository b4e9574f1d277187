import {rankHosts} from '../ownership.js';
import type {MemberState} from './messages.js';
import {bounds} from './timing.js';

/** Kind of a probed link. */
export type LinkKind = 'ring' | 'chord' | 'cross';

interface Candidate {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly state: MemberState;
}

/**
 * Chooses the members that a host probes: the next members of its zone in the order of ids, a few
 * others of its zone, and a few in other zones, at least one of them in another region. The
 * number does not depend on the size of the fleet. Rendezvous hashing keeps the choice stable when
 * other members come and go.
 *
 * @param self - This host.
 * @param candidates - Members that may be alive, without this host.
 * @param avoid - Tells whether a member in another zone is to be passed over.
 * @returns Kind of the link by member id.
 */
export function chooseLinks(
  self: Candidate,
  candidates: readonly Candidate[],
  avoid: (id: string) => boolean,
): Map<string, LinkKind> {
  const links = new Map<string, LinkKind>();
  const near = candidates
    .filter(other => other.zone === self.zone)
    .sort((a, b) => (a.id < b.id ? -1 : 1));
  const first = near.findIndex(({id}) => id > self.id);
  const start = first === -1 ? 0 : first;
  let alive = 0;
  // The ring goes on past suspects, so that neighbours that fail together are found together.
  for (let i = 0; i < Math.min(bounds.maxRing, near.length); i++) {
    const {id, state} = near[(start + i) % near.length];
    links.set(id, 'ring');
    if (state === 'alive') alive++;
    if (alive === bounds.ringSuccessors) break;
  }
  const rest = near.map(({id}) => id).filter(id => !links.has(id));
  for (const id of rankHosts(self.id, rest).slice(0, bounds.chords)) {
    links.set(id, 'chord');
  }
  for (const zone of chooseZones(self, candidates)) {
    const ids = candidates.filter(o => o.zone === zone).map(o => o.id);
    const ranked = rankHosts(self.id, ids);
    links.set(ranked.find(id => !avoid(id)) ?? ranked[0], 'cross');
  }
  return links;
}

function chooseZones(
  self: Candidate,
  candidates: readonly Candidate[],
): string[] {
  const regions = new Map<string, string>();
  for (const {zone, region} of candidates) {
    if (zone !== self.zone) regions.set(zone, region);
  }
  const ranked = rankHosts(self.id, [...regions.keys()]);
  const chosen = ranked.slice(0, bounds.crossLinks);
  const isFar = (zone: string) => regions.get(zone) !== self.region;
  if (!chosen.some(isFar)) {
    const far = ranked.find(isFar);
    if (far) chosen[chosen.length - 1] = far;
  }
  return chosen;
}
