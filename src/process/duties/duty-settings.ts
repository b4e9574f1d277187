import type {Endpoint} from '../gateway-settings.js';
import type {Duty} from './duty-record.js';

/** Settings of the duties towards the platform; absent where a deployment has none. */
export interface DutySettings {
  /** Endpoint of the platform for the calls of duties. */
  readonly endpoint: Endpoint;
  /** Duties that the deployment asks for and whose settings are complete. */
  readonly duties: readonly Duty[];
  /** Calls per second that the platform accepts from all hosts together. */
  readonly callsPerS: number;
  /** Period within which the duties must not go from one host to another and back, in milliseconds. */
  readonly leaseMs: number;
  /** Time after the end of a freeze within which calls of the host may still arrive, in milliseconds. */
  readonly thawMs: number;
  /** Whether the platform checks the fencing number itself. */
  readonly checksFence: boolean;
  /** Bounds of the usage reports; present if the duty is. */
  readonly usage?: UsageBounds;
}

/** Bounds of the reports of usage. */
export interface UsageBounds {
  /** Length of a window, in milliseconds; window k begins k such lengths after the start of 1970. */
  readonly windowMs: number;
  /** Fraction by which a reported count may differ from the true one. */
  readonly tolerance: number;
  /** Time after the end of a window at which its report is due, in milliseconds. */
  readonly dueMs: number;
}

/** How much a host can do, as far as its settings state it. */
export interface HostStrength {
  /** Processor cores: the share of a core, by its speed. */
  readonly cores?: number;
  /** Bandwidth of its link, in Mbit/s. */
  readonly linkMbps?: number;
}

/** Cores and bandwidth below which a host holds duties only if no stronger one does. */
const minCores = 0.6;
const minLinkMbps = 50;

/**
 * Checks whether a host should leave the duties to others where it can.
 *
 * @param strength - What its settings state; what they omit counts as enough.
 */
export function isWeakHost({
  cores = minCores,
  linkMbps = minLinkMbps,
}: HostStrength): boolean {
  return cores < minCores || linkMbps < minLinkMbps;
}
