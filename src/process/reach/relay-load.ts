import {relayOutcomes, type RelayOutcome} from './relay-hosts.js';

/** First and longest time for which a host that failed is avoided, in milliseconds; it doubles until a response. */
const minAvoidedMs = 500;
const maxAvoidedMs = 8000;
/** Time for which a host that refused a request is used only if there is no other, in milliseconds. */
const refusedMs = 300;

interface HostUse {
  /** Relayed requests of this host that are open there. */
  open: number;
  avoidedMs: number;
  avoidedUntilMs: number;
  refusedUntilMs: number;
}

/** How this host uses the others for its requests. */
export class RelayLoad {
  private readonly hosts = new Map<string, HostUse>();

  /**
   * Counts the open relayed requests at a host.
   *
   * @param host - Name of the host.
   */
  open(host: string): number {
    return this.hosts.get(host)?.open ?? 0;
  }

  /**
   * Checks whether a host is avoided because it failed.
   *
   * @param host - Name of the host.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  isAvoided(host: string, nowMs: number): boolean {
    return nowMs < (this.hosts.get(host)?.avoidedUntilMs ?? -Infinity);
  }

  /**
   * Checks whether a host has just refused a request.
   *
   * @param host - Name of the host.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  hasRefused(host: string, nowMs: number): boolean {
    return nowMs < (this.hosts.get(host)?.refusedUntilMs ?? -Infinity);
  }

  /**
   * Counts a request that is sent through a host.
   *
   * @param host - Name of the host.
   */
  begun(host: string): void {
    this.of(host).open++;
  }

  /**
   * Records how a request ended at a host.
   *
   * @param host - Name of the host.
   * @param outcome - How it ended there.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  ended(host: string, outcome: RelayOutcome, nowMs: number): void {
    const use = this.of(host);
    use.open = Math.max(0, use.open - 1);
    if (outcome === relayOutcomes.answered) {
      use.avoidedMs = 0;
    } else if (outcome === relayOutcomes.refused) {
      use.refusedUntilMs = nowMs + refusedMs;
    } else if (
      outcome === relayOutcomes.failed &&
      nowMs >= use.avoidedUntilMs
    ) {
      // Requests that fail together count once.
      use.avoidedMs = Math.min(
        maxAvoidedMs,
        Math.max(minAvoidedMs, use.avoidedMs * 2),
      );
      use.avoidedUntilMs = nowMs + use.avoidedMs;
    }
  }

  private of(host: string): HostUse {
    let use = this.hosts.get(host);
    if (!use) {
      use = {
        open: 0,
        avoidedMs: 0,
        avoidedUntilMs: -Infinity,
        refusedUntilMs: -Infinity,
      };
      this.hosts.set(host, use);
    }
    return use;
  }
}
