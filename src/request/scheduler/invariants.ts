/** Name of an invariant that the scheduler checks at run time. */
export type InvariantName =
  | 'grant-over-limit'
  | 'grant-to-unusable-target'
  | 'duplicate-permit'
  | 'preempt-non-idempotent';

/** Receives violations of the scheduler's invariants. */
export abstract class InvariantSink {
  /**
   * Reports a violation.
   *
   * @param name - Violated invariant.
   * @param detail - Values that violate it.
   */
  abstract violated(name: InvariantName, detail: string): void;
}

/** Throws on the first violation. */
export class ThrowingInvariantSink extends InvariantSink {
  override violated(name: InvariantName, detail: string): void {
    throw new Error(`scheduler invariant ${name} violated: ${detail}`);
  }
}

/** Values that a grant is checked against. */
export interface GrantCheck {
  readonly permitId: string;
  readonly target: string;
  /** Number of outstanding permits before the grant. */
  readonly inFlight: number;
  /** Maximum number of outstanding permits. */
  readonly allowed: number;
  readonly usable: boolean;
  readonly duplicate: boolean;
}

/**
 * Checks a grant just before it is made.
 *
 * @param sink - Receives violations.
 * @param check - Values of the grant.
 */
export function checkGrant(sink: InvariantSink, check: GrantCheck): void {
  const {permitId, target, inFlight, allowed} = check;
  if (inFlight >= allowed) {
    sink.violated('grant-over-limit', `${target}: ${inFlight} of ${allowed}`);
  }
  if (!check.usable) sink.violated('grant-to-unusable-target', target);
  if (check.duplicate) sink.violated('duplicate-permit', permitId);
}

/**
 * Checks that a permit may be preempted: only idempotent requests may run twice.
 *
 * @param sink - Receives the violation.
 * @param permit - Permit to preempt.
 */
export function checkPreemption(
  sink: InvariantSink,
  permit: {id: string; request: {idempotent: boolean}},
): void {
  if (!permit.request.idempotent) {
    sink.violated('preempt-non-idempotent', permit.id);
  }
}
