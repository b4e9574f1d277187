import {rankHosts} from '../ownership.js';
import type {MemberState} from './messages.js';
import {bounds} from './timing.js';

/** Kind of a probed link: ring or additional member of the same zone, or member of another zone. */
export type LinkKind = 'ring' | 'chord' | 'cross';

interface Candidate {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly state: MemberState;
}

/**
 * Chooses the members that a host probes: its successors on the ring of its zone, ordered by id, a
 * few other members of its zone, and one member in each of a few other zones, at least one of which
 * is in another region if there is one. The number of links does not depend on the size of the
 * fleet. Rendezvous hashing keeps the choice stable when other members join or leave.
 *
 * @param self - This host.
 * @param candidates - Live members except this host.
 * @param avoid - Returns whether another member of a remote zone is preferred.
 * @returns Kind of the link by member id.
 */
export function chooseLinks(
  self: Candidate,
  candidates: readonly Candidate[],
  avoid: (id: string) => boolean,
): Map<string, LinkKind> {
  const links = new Map<string, LinkKind>();
  const sameZone = candidates
    .filter(other => other.zone === self.zone)
    .sort((a, b) => (a.id < b.id ? -1 : 1));
  const first = sameZone.findIndex(({id}) => id > self.id);
  const start = first === -1 ? 0 : first;
  let alive = 0;
  // The ring continues past suspects, so that neighbours that fail together are detected together.
  for (let i = 0; i < Math.min(bounds.maxRingLinks, sameZone.length); i++) {
    const {id, state} = sameZone[(start + i) % sameZone.length];
    links.set(id, 'ring');
    if (state === 'alive') alive++;
    if (alive === bounds.ringSuccessors) break;
  }
  const rest = sameZone.map(({id}) => id).filter(id => !links.has(id));
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
  const isRemote = (zone: string) => regions.get(zone) !== self.region;
  if (!chosen.some(isRemote)) {
    const remote = ranked.find(isRemote);
    if (remote) chosen[chosen.length - 1] = remote;
  }
  return chosen;
}
