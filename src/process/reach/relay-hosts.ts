/** A host through which requests of this host can reach targets. */
export interface RelayHost {
  readonly host: string;
  /** Where it accepts relayed requests, `IP:PORT`. */
  readonly address: string;
}

/** What the choice of a relaying host depends on. */
export interface RelayDemand {
  readonly service: string;
  /** Regions whose targets may be used; empty for all. */
  readonly regions: readonly string[];
  /** Names of hosts that failed or refused the request. */
  readonly exclude: ReadonlySet<string>;
  /** Whether the request may run twice. */
  readonly isRepeatable: boolean;
  /** Whether it waits for a target, and would not be sent at once if no host is chosen. */
  readonly isWaiting: boolean;
}

/** How a relayed request ended at the relaying host. */
export const relayOutcomes = {
  /** The response of a target came through. */
  answered: 'answered',
  /** The host refused it, and no target has run it. */
  refused: 'refused',
  /** The host did not respond, or its connection failed. */
  failed: 'failed',
  /** This host or the caller ended it. */
  cancelled: 'cancelled',
} as const;

/** One of {@link relayOutcomes}. */
export type RelayOutcome = (typeof relayOutcomes)[keyof typeof relayOutcomes];

/** Decides whether requests go through another host, because this one reaches no target of their service. */
export abstract class RelayHosts {
  /**
   * Chooses the host through which a request is sent, and counts it as open there until {@link ended}.
   *
   * @param demand - Service of the request and hosts to avoid.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @returns The host; `undefined` if this host reaches targets of the service itself, or no other host is known to.
   */
  abstract choose(demand: RelayDemand, nowMs: number): RelayHost | undefined;

  /**
   * Records how a relayed request ended.
   *
   * @param host - Host that {@link choose} returned.
   * @param outcome - How it ended there.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  abstract ended(host: string, outcome: RelayOutcome, nowMs: number): void;
}
