import {EvidenceSource} from '../rollout/ports.js';
import type {EvidenceStore} from './evidence-store.js';
import {VersionEvaluator, type Verdict} from './version-evaluator.js';

/** Judges that are kept; rollouts of the same service follow each other. */
const maxJudges = 64;

/** Evidence from the counters of this host and its peers. */
export class StoreEvidenceSource extends EvidenceSource {
  private readonly judges = new Map<string, VersionEvaluator>();
  private readonly latest = new Map<
    VersionEvaluator,
    {atMs: number; verdict: Verdict}
  >();

  /** @param store - Counters. */
  constructor(private readonly store: EvidenceStore) {
    super();
  }

  override verdict(
    service: string,
    oldVersion: string,
    newVersion: string,
    wallMs: number,
  ): Verdict {
    const judge = this.judge(service, oldVersion, newVersion);
    const known = this.latest.get(judge);
    if (known?.atMs === wallMs) return known.verdict;
    const verdict = judge.update(wallMs);
    this.latest.set(judge, {atMs: wallMs, verdict});
    return verdict;
  }

  override startStep(
    service: string,
    oldVersion: string,
    newVersion: string,
  ): void {
    const judge = this.judge(service, oldVersion, newVersion);
    judge.startStep();
    this.latest.delete(judge);
  }

  private judge(
    service: string,
    oldVersion: string,
    newVersion: string,
  ): VersionEvaluator {
    const key = JSON.stringify([service, oldVersion, newVersion]);
    let judge = this.judges.get(key);
    if (!judge) {
      judge = new VersionEvaluator(this.store, service, oldVersion, newVersion);
      this.judges.set(key, judge);
      if (this.judges.size > maxJudges) this.dropOldest();
    }
    return judge;
  }

  private dropOldest(): void {
    const [key, judge] = this.judges.entries().next().value!;
    this.judges.delete(key);
    this.latest.delete(judge);
  }
}
