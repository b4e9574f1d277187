import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {ManualClock} from '../../../stand-ins/manual-clock.js';
import {MembershipNetwork} from '../../../stand-ins/membership-network.js';

/** Hosts on an in-memory network that have all joined. */
export interface Fleet {
  readonly clock: ManualClock;
  readonly network: MembershipNetwork;
}

/** Creates a reproducible generator of numbers from 0 to 1. */
export function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/**
 * Starts hosts `z0-h0`, `z0-h1` and so on, and lets them join for 10 s. The second half of the zones
 * is in another region.
 */
export function startFleet(options: {
  readonly zones: number;
  readonly perZone: number;
  readonly seed: number;
  readonly loss?: number;
}): Fleet {
  const {zones, perZone, seed, loss} = options;
  const clock = new ManualClock();
  const network = new MembershipNetwork(clock, {
    random: seededRandom(seed),
    loss,
    delayMs: (a, b) => (a.region !== b.region ? 15 : a.zone !== b.zone ? 2 : 1),
  });
  for (let z = 0; z < zones; z++) {
    for (let h = 0; h < perZone; h++) {
      const region = z * 2 < zones ? 'near' : 'far';
      const id = `z${z}-h${h}`;
      network.start({id, zone: `z${z}`, region, address: `10.0.${z}.${h}:1`}, [
        '10.0.0.0:1',
      ]);
    }
  }
  network.run(10_000);
  return {clock, network};
}
