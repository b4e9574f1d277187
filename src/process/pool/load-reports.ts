import type {TargetReport} from '../fleet/gossip-message.js';

/** Weight of a reported token time in the moving average of a target. */
const tokenMsWeight = 0.2;

/** Sums of the reports of other hosts about one target. */
export interface ReportedLoad {
  /** Open requests of other hosts at the target. */
  load: number;
  /** Prompt tokens of the open requests that have no first event yet. */
  pendingPromptTokens: number;
  /** Time per output token measured by other hosts, in milliseconds; 0 if unknown. */
  tokenMs: number;
}

type Reports = Readonly<Record<string, TargetReport>>;

/**
 * Aggregates the reports of other hosts by target. Each message updates the sums by the difference to
 * the host's previous one, so that the cost does not grow with hosts times targets.
 */
export class LoadReports {
  private readonly byHost = new Map<string, Reports>();
  private readonly sums = new Map<string, ReportedLoad>();

  /**
   * Replaces the reports of a host.
   *
   * @param host - Name of the host.
   * @param reports - Its reports by target id; a target without a report has no requests of the host.
   */
  apply(host: string, reports: Reports): void {
    this.subtract(host);
    this.byHost.set(host, reports);
    for (const [id, {load, pendingPromptTokens, tokenMs}] of Object.entries(
      reports,
    )) {
      const sum = this.of(id);
      sum.load += load;
      sum.pendingPromptTokens += pendingPromptTokens;
      if (tokenMs <= 0) continue;
      const weight = sum.tokenMs > 0 ? tokenMsWeight : 1;
      sum.tokenMs += weight * (tokenMs - sum.tokenMs);
    }
  }

  /**
   * Removes the reports of all hosts but those given.
   *
   * @param hosts - Names of the hosts that are still received.
   */
  retainHosts(hosts: ReadonlySet<string>): void {
    for (const host of [...this.byHost.keys()]) {
      if (hosts.has(host)) continue;
      this.subtract(host);
      this.byHost.delete(host);
    }
  }

  /**
   * Looks up the sums of a target.
   *
   * @param id - Id of the target.
   * @returns Live object that later reports update.
   */
  of(id: string): ReportedLoad {
    let sum = this.sums.get(id);
    if (!sum) {
      sum = {load: 0, pendingPromptTokens: 0, tokenMs: 0};
      this.sums.set(id, sum);
    }
    return sum;
  }

  /**
   * Removes the sums of a target that no longer exists, unless a host still reports it.
   *
   * @param id - Id of the target.
   */
  forget(id: string): void {
    const sum = this.sums.get(id);
    if (sum && sum.load <= 0 && sum.pendingPromptTokens <= 0)
      this.sums.delete(id);
  }

  private subtract(host: string): void {
    const reports = this.byHost.get(host);
    if (!reports) return;
    for (const [id, {load, pendingPromptTokens}] of Object.entries(reports)) {
      const sum = this.of(id);
      sum.load -= load;
      sum.pendingPromptTokens -= pendingPromptTokens;
    }
  }
}
