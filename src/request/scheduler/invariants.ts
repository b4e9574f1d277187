/** Name of a rule that the scheduler checks at run time. */
export type InvariantName =
  | 'grant-over-limit'
  | 'grant-to-unusable-target'
  | 'duplicate-permit'
  | 'preempt-non-idempotent'
  | 'top-tier-refused-before-lower';

/** Receives violations of the scheduler's invariants. */
export abstract class InvariantSink {
  /**
   * Reports a violation.
   *
   * @param name - Rule that does not hold.
   * @param detail - Values of this case.
   */
  abstract violated(name: InvariantName, detail: string): void;
}

/** Throws on the first violation. */
export class ThrowingInvariantSink extends InvariantSink {
  override violated(name: InvariantName, detail: string): void {
    throw new Error(`scheduler invariant ${name} violated: ${detail}`);
  }
}
