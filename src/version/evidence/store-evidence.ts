import {EvidenceSource} from '../rollout/ports.js';
import type {EvidenceStore} from './evidence-store.js';
import {VersionJudge, type Verdict} from './version-judge.js';

/** Judges that are kept; rollouts of the same service follow each other. */
const maxJudges = 64;

/** Evidence from the counters of this host and its peers. */
export class StoreEvidence extends EvidenceSource {
  private readonly judges = new Map<string, VersionJudge>();

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
    return this.judge(service, oldVersion, newVersion).update(wallMs);
  }

  override startStep(
    service: string,
    oldVersion: string,
    newVersion: string,
  ): void {
    this.judge(service, oldVersion, newVersion).startStep();
  }

  private judge(
    service: string,
    oldVersion: string,
    newVersion: string,
  ): VersionJudge {
    const key = JSON.stringify([service, oldVersion, newVersion]);
    let judge = this.judges.get(key);
    if (!judge) {
      judge = new VersionJudge(this.store, service, oldVersion, newVersion);
      this.judges.set(key, judge);
      if (this.judges.size > maxJudges)
        this.judges.delete(this.judges.keys().next().value as string);
    }
    return judge;
  }
}
