import type {TargetReport} from '../fleet/gossip-message.js';

/** Weight of a reported speed in the average of one target. */
const tokenMsWeight = 0.2;

/** What other hosts report of one target, summed up. */
export interface ReportedLoad {
  /** Requests of other hosts at the target. */
  load: number;
  /** Prompt tokens of those that have no first event yet. */
  pendingPromptTokens: number;
  /** Time for one generated token as others measured it, in milliseconds; 0 if not known. */
  tokenMs: number;
}

type Reports = Readonly<Record<string, TargetReport>>;

/**
 * Sums what other hosts report of targets. Each message changes the sums by what differs from the
 * message before, so that the cost does not grow with hosts times targets.
 */
export class LoadReports {
  private readonly byHost = new Map<string, Reports>();
  private readonly sums = new Map<string, ReportedLoad>();

  /**
   * Takes over the reports of a host.
   *
   * @param host - Name of the host.
   * @param reports - Its reports by target; what is not in them is idle.
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
   * Drops the reports of the hosts that are not heard any more.
   *
   * @param hosts - Names of the hosts that are heard.
   */
  retainHosts(hosts: ReadonlySet<string>): void {
    for (const host of [...this.byHost.keys()]) {
      if (hosts.has(host)) continue;
      this.subtract(host);
      this.byHost.delete(host);
    }
  }

  /**
   * Looks up what is reported of a target.
   *
   * @param id - Id of the target.
   * @returns Sums that stay up to date.
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
   * Forgets the sums of a target that is gone and that no host reports.
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
