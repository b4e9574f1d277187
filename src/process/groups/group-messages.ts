import type {
  CacheEvent,
  LoadReport,
  VersionCap,
} from '../../request/scheduler/types.js';
import type {ConfigState} from '../../version/config-state.js';
import type {Clock} from '../clock.js';
import type {FollowerMessage, OwnerMessage} from './permit-messages.js';
import type {SchedulerCore} from './scheduler-core.js';
import type {ZoneRoster} from './zone-roster.js';

/** Messages to a group owner. */
export type GroupMessage =
  | {kind: 'follower'; host: string; message: FollowerMessage}
  /** The link of a follower ended; its permits stay counted. */
  | {kind: 'linkClosed'; host: string}
  | {kind: 'loadReport'; target: string; report: LoadReport}
  | {kind: 'cacheEvent'; target: string; event: CacheEvent}
  | {kind: 'configChanged'; state: ConfigState}
  /** Limits of the versions beside the service's own that a rollout allows. */
  | {kind: 'versionCaps'; caps: readonly VersionCap[]}
  | {kind: 'membershipChanged'}
  | {kind: 'tick'}
  /** This host is leaving: grants nothing more and sends the followers away. */
  | {kind: 'handOver'};

/** What a group owner needs. */
export interface GroupParts {
  readonly group: string;
  readonly core: SchedulerCore;
  readonly clock: Clock;
  readonly roster: ZoneRoster;
  readonly config: ConfigState;
  readonly send: (host: string, message: OwnerMessage) => void;
}
