import {gossipIntervalMs} from '../fleet/gossip-interval.js';
import {sharingHosts} from '../fleet/known-hosts.js';
import type {QuotaBuckets} from './quota-buckets.js';

/** Delay from the use of a quota to its report, and of that message on the network, in milliseconds. */
const updateDelayMs = 50;
/**
 * Time after which a restarted host uses its quotas without the levels of other hosts, in milliseconds.
 * It starts with the first message of another host, or at `aloneMs` after the start if there is none.
 */
const quotaSettleMs = 400;
const aloneMs = 1000;

/** Keeps this host's share of the quotas in step with the number of other hosts. */
export class QuotaSharing {
  private firstHeardMs = Infinity;

  /**
   * @param quotas - Quotas of this host.
   * @param startMs - Monotonic time at which the host started, in milliseconds.
   */
  constructor(
    private readonly quotas: QuotaBuckets,
    private readonly startMs: number,
  ) {}

  /**
   * Recomputes the share.
   *
   * @param heard - Number of other hosts from which messages were received recently.
   * @param hosts - Number of hosts that are known, this one included.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  update(heard: number, hosts: number, nowMs: number): void {
    this.quotas.setShare(
      heard + 1,
      sharingHosts(hosts, hosts > 1),
      gossipIntervalMs(hosts - 1) / 2 + updateDelayMs,
    );
    if (heard > 0) this.firstHeardMs = Math.min(this.firstHeardMs, nowMs);
    const sinceMs = Math.min(this.firstHeardMs, this.startMs + aloneMs);
    if (nowMs >= sinceMs + quotaSettleMs) this.quotas.settleWithoutPeers();
  }
}
