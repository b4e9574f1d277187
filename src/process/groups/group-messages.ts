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

/** Messages to the {@link GroupTask} of an owned group. */
export type GroupMessage =
  | {kind: 'follower'; host: string; message: FollowerMessage}
  /** The link of a follower ended. Its permits still count against the limits. */
  | {kind: 'linkClosed'; host: string}
  | {kind: 'loadReport'; target: string; report: LoadReport}
  | {kind: 'cacheEvent'; target: string; event: CacheEvent}
  | {kind: 'configChanged'; state: ConfigState}
  /** Limits of the versions that a rollout allows in addition to the service's version. */
  | {kind: 'versionCaps'; caps: readonly VersionCap[]}
  | {kind: 'membershipChanged'}
  | {kind: 'tick'}
  /** This host is leaving: it stops granting and redirects the followers to the next owner. */
  | {kind: 'handOver'};

/** Dependencies of a {@link GroupTask}. */
export interface GroupParts {
  readonly group: string;
  readonly core: SchedulerCore;
  readonly clock: Clock;
  readonly roster: ZoneRoster;
  readonly config: ConfigState;
  readonly send: (host: string, message: OwnerMessage) => void;
}
