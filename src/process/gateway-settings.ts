/** An IP address and a port. */
export interface Endpoint {
  readonly address: string;
  readonly port: number;
}

/** Bounds of the deployment that decisions depend on. */
export interface Bounds {
  /** Time after which a leaving target gets no request any more, in milliseconds. */
  readonly drainMs: number;
  /** Time after which a configuration is in force, in milliseconds. */
  readonly configMs: number;
  /** Time between the signal to stop and the end of the process, in milliseconds. */
  readonly stopMs: number;
  /** Repeats that a service may get for each request, over all hosts. */
  readonly retryRatio: number;
  /** Period over which repeats are counted, in milliseconds. */
  readonly retryWindowMs: number;
  /** Repeats in a period that are allowed in addition, over all hosts. */
  readonly retrySlack: number;
  /** Period over which the use of a quota is summed up, in milliseconds. */
  readonly quotaWindowMs: number;
  /** Part of a quota by which the sum over all hosts may exceed it. */
  readonly quotaOver: number;
  /** Units in a period that are allowed in addition, over all hosts. */
  readonly quotaSlack: number;
  /** Factor by which the rate of a cold target may be exceeded. */
  readonly coldOver: number;
  /** Requests a second to a cold target that are allowed in addition. */
  readonly coldSlack: number;
  /** Part of a service's requests that an unproven version may get. */
  readonly exposeShare: number;
}

/** Settings of one gateway host. */
export interface GatewaySettings {
  readonly host: string;
  readonly ip: string;
  /** Availability zone of the host. */
  readonly zone: string;
  /** Region of each availability zone. */
  readonly regions: ReadonlyMap<string, string>;
  /** Where callers connect. */
  readonly callers: Endpoint;
  /** Where the load balancer asks whether the host is ready. */
  readonly ready: Endpoint;
  /** Where other hosts read this host's state. */
  readonly peers?: Endpoint;
  /** TCP port at which metrics are served; absent to serve them to other hosts only. */
  readonly metricsPort?: number;
  /** UDP port for datagrams between hosts; the same on all hosts. */
  readonly gossipPort: number;
  /** Peer addresses of some hosts; may be out of date. */
  readonly seeds: readonly Endpoint[];
  /** Whether the whole deployment starts for the first time. */
  readonly firstStart: boolean;
  readonly store: Endpoint;
  readonly bounds: Bounds;
}
