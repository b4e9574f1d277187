import {dutyEvents} from './duty-events.js';
import {gatewayEvents} from './gateway-events.js';
import {peerEvents} from './peer-events.js';
import {platformEvents} from './platform-events.js';
import {poolSizeEvents} from './pool-size-events.js';
import {processEvents} from './process-events.js';
import {requestEvents} from './request-events.js';
import {rolloutEvents} from './rollout-events.js';
import {usageEvents} from './usage-events.js';
import {versionEvents} from './version-events.js';

/** A numbered log event. */
export interface LogEvent {
  /** Stable number, written as `event`; never reused. */
  readonly id: number;
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  /** Constant text; values of a case are separate fields. */
  readonly message: string;
}

/** All log events, by name. Ranges of numbers: process 1000, request 2000, peer 3000, platform 4000, version 5000, rollout 6000, gateway 7000. */
export const events = {
  ...processEvents,
  ...requestEvents,
  ...peerEvents,
  ...platformEvents,
  ...versionEvents,
  ...rolloutEvents,
  ...gatewayEvents,
  ...usageEvents,
  ...dutyEvents,
  ...poolSizeEvents,
} as const satisfies Record<string, LogEvent>;

/** Name of a log event. */
export type EventName = keyof typeof events;
