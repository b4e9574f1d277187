import type {DutySettings, HostStrength} from './duties/duty-settings.js';
import type {SchedulingSettings} from './scheduling-settings.js';

/** An IP address and a port. */
export interface Endpoint {
  readonly address: string;
  readonly port: number;
}

/** Time limits, budgets and tolerances of the deployment that the gateway has to keep. */
export interface Bounds {
  /** Time after which a draining target must get no more requests, in milliseconds. */
  readonly drainMs: number;
  /** Maximum time until a new configuration is in force on all hosts, in milliseconds. */
  readonly configMs: number;
  /** Maximum time between the stop signal and the end of the process, in milliseconds. */
  readonly stopMs: number;
  /** Maximum ratio of retries to requests of a service, over all hosts. */
  readonly retryRatio: number;
  /** Period over which retries are counted, in milliseconds. */
  readonly retryWindowMs: number;
  /** Retries per period that are allowed in addition to the ratio, over all hosts. */
  readonly retrySlack: number;
  /** Period over which the usage of a quota is summed, in milliseconds. */
  readonly quotaWindowMs: number;
  /** Fraction of a quota by which the total usage over all hosts may exceed it. */
  readonly quotaOver: number;
  /** Quota units per period that are allowed in addition, over all hosts. */
  readonly quotaSlack: number;
  /** Factor by which the request rate to a cold target may exceed its limit. */
  readonly coldOver: number;
  /** Requests per second to a cold target that are allowed in addition. */
  readonly coldSlack: number;
  /** Factor by which the requests to a target may exceed the rate that it states, over all hosts. */
  readonly statedOver: number;
  /** Requests per period to such a target that are allowed in addition. */
  readonly statedSlack: number;
  /** Period over which the requests to such a target are counted, in milliseconds. */
  readonly statedWindowMs: number;
  /** Maximum fraction of a service's requests that an unproven version may get. */
  readonly exposeShare: number;
  /** Maximum time from an event at its target until it reaches the caller, in milliseconds; 0 if there is no such bound. */
  readonly eventDelayMs: number;
}

/** What the host gives to the process; the system ends a process that exceeds its memory. */
export interface HostLimits {
  /** Maximum resident memory, in bytes. */
  readonly memoryBytes: number;
  /** Maximum number of open descriptors: files, sockets and pipes. */
  readonly maxDescriptors: number;
}

/** Settings of one gateway host; entry hosts of a fleet have `Settings` instead. */
export interface GatewaySettings {
  readonly host: string;
  readonly ip: string;
  /** Availability zone of the host. */
  readonly zone: string;
  /** Region of each availability zone, by zone. */
  readonly regions: ReadonlyMap<string, string>;
  /** Endpoint for callers. */
  readonly callers: Endpoint;
  /** Endpoint for readiness probes of the load balancer. */
  readonly ready: Endpoint;
  /** Endpoint where other hosts read this host's state. */
  readonly peers?: Endpoint;
  /** TCP port for metrics; if absent, only the peer endpoint serves them. */
  readonly metricsPort?: number;
  /** UDP port for datagrams between hosts; the same on all hosts. */
  readonly gossipPort: number;
  /** TCP port for requests that other hosts relay; the same on all hosts. Absent if none are relayed. */
  readonly relayPort?: number;
  /** Peer endpoints of some hosts to contact first; may be out of date. */
  readonly seeds: readonly Endpoint[];
  /** Whether the whole deployment starts for the first time, rather than this host alone. */
  readonly firstStart: boolean;
  readonly store: Endpoint;
  readonly bounds: Bounds;
  readonly limits: HostLimits;
  /** Parts of the scheduler that the deployment asks for; none if absent. */
  readonly scheduling?: SchedulingSettings;
  /** Optional settings that are invalid and not used, with the reason; logged at the start. */
  readonly ignored?: readonly string[];
  readonly strength?: HostStrength;
  /** Absent in a deployment without duties towards the platform. */
  readonly duties?: DutySettings;
  /** Keys of the settings of duties that are missing or invalid; the duties that need them are off. */
  readonly dutyProblems?: readonly string[];
}
