import {EvidenceSource} from '../rollout/ports.js';
import type {EvidenceStore} from './evidence-store.js';
import {VersionEvaluator, type Verdict} from './version-evaluator.js';

/** Maximum number of evaluators that are kept; rollouts of the same service follow each other. */
const maxEvaluators = 64;

/** Evaluates rollouts from the counters of this host and its peers. */
export class StoreEvidenceSource extends EvidenceSource {
  private readonly evaluators = new Map<string, VersionEvaluator>();
  /** Last verdict of each evaluator, reused within the same millisecond. */
  private readonly latest = new Map<
    VersionEvaluator,
    {atMs: number; verdict: Verdict}
  >();

  /** @param store - Counters of this host and its peers. */
  constructor(private readonly store: EvidenceStore) {
    super();
  }

  override verdict(
    service: string,
    oldVersion: string,
    newVersion: string,
    wallMs: number,
  ): Verdict {
    const evaluator = this.evaluatorOf(service, oldVersion, newVersion);
    const known = this.latest.get(evaluator);
    if (known?.atMs === wallMs) return known.verdict;
    const verdict = evaluator.update(wallMs);
    this.latest.set(evaluator, {atMs: wallMs, verdict});
    return verdict;
  }

  override startStep(
    service: string,
    oldVersion: string,
    newVersion: string,
  ): void {
    const evaluator = this.evaluatorOf(service, oldVersion, newVersion);
    evaluator.startStep();
    this.latest.delete(evaluator);
  }

  private evaluatorOf(
    service: string,
    oldVersion: string,
    newVersion: string,
  ): VersionEvaluator {
    const key = JSON.stringify([service, oldVersion, newVersion]);
    let evaluator = this.evaluators.get(key);
    if (!evaluator) {
      evaluator = new VersionEvaluator(
        this.store,
        service,
        oldVersion,
        newVersion,
      );
      this.evaluators.set(key, evaluator);
      if (this.evaluators.size > maxEvaluators) this.dropOldest();
    }
    return evaluator;
  }

  private dropOldest(): void {
    const [key, evaluator] = this.evaluators.entries().next().value!;
    this.evaluators.delete(key);
    this.latest.delete(evaluator);
  }
}
