import {
  createDuties,
  type Duties,
  type DutiesParts,
} from './process/duties/create-duties.js';
import type {GossipSection} from './process/fleet/gossip-section.js';
import type {PeerTable} from './process/fleet/peer-table.js';
import {
  createPoolSize,
  type PoolSize,
  type PoolSizeParts,
} from './process/pool-size/create-pool-size.js';
import {createUsage, type Usage} from './process/usage/create-usage.js';

/** Dependencies of the duties of a gateway host. */
export interface GatewayDutiesParts
  extends
    Omit<DutiesParts, 'tasks' | 'peers'>,
    Pick<PoolSizeParts, 'pool' | 'state' | 'dispatcher'> {
  readonly peers: PeerTable;
  /** Unix time at which this host started, in milliseconds. */
  readonly incarnation: number;
}

/** The duties of a gateway host, with what they count of requests. */
export interface GatewayDuties extends Pick<Duties, 'start' | 'stop'> {
  /** Parts of the messages between hosts; empty in a deployment without duties. */
  readonly sections: readonly GossipSection[];
  readonly onBegun: Usage['onBegun'];
  readonly demand: PoolSize['demand'];
}

/**
 * Connects the holder of the duties with the duties that it performs.
 *
 * @param parts - Dependencies.
 */
export function createGatewayDuties(parts: GatewayDutiesParts): GatewayDuties {
  const {clock, peers} = parts;
  const holder = () => duties.holder();
  const usage = createUsage({...parts, holder});
  const poolSize = createPoolSize({...parts, holder});
  const duties = createDuties({
    ...parts,
    peers: () => peers.heard(clock.nowMs()).map(({host}) => host),
    tasks: [...usage.tasks, ...poolSize.tasks],
  });
  return {
    sections: [...duties.sections, ...usage.sections, ...poolSize.sections],
    onBegun: usage.onBegun,
    demand: poolSize.demand,
    start: () => duties.start(),
    stop: () => duties.stop(),
  };
}
