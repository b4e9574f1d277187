import type {SharedStore} from './connection/store/shared-store.js';
import type {Clock} from './process/clock.js';
import type {DutyClients} from './process/duties/create-duties.js';
import type {Logger} from './process/logger.js';
import type {RelayHosts} from './process/reach/relay-hosts.js';
import type {OverdueSink} from './request/gateway/open-request-check.js';
import type {WireFormat} from './request/gateway/wire-format.js';

/** Dependencies of a gateway host that the platform or a test provides. */
export interface GatewayHostParts {
  readonly store: SharedStore;
  readonly wire: WireFormat;
  readonly clock?: Clock;
  readonly logger?: Logger;
  readonly overdueSink?: OverdueSink;
  /** Replaces the choice of the hosts through which requests go. */
  readonly relays?: RelayHosts;
  /** Present if the deployment has duties towards the platform. */
  readonly duties?: DutyClients;
}

/** A gateway host: accepts requests of callers and forwards them to targets. */
export interface GatewayHost {
  start(): Promise<void>;
  /** Reports not ready, completes open requests and ends within the deployment's time limit. */
  stop(): Promise<void>;
}
