import {peerFailures, type PeerFailure} from './peer-failures.js';
import {platformFailures, type PlatformFailure} from './platform-failures.js';
import {processFailures, type ProcessFailure} from './process-failures.js';
import {requestFailures, type RequestFailure} from './request-failures.js';
import {resourceFailures, type ResourceFailure} from './resource-failures.js';
import {rolloutFailures, type RolloutFailure} from './rollout-failures.js';
import {settingsFailures, type SettingsFailure} from './settings-failures.js';

/** Every failure that the system reports, discriminated by `kind`. */
export type Failure =
  | SettingsFailure
  | ProcessFailure
  | RequestFailure
  | PlatformFailure
  | PeerFailure
  | ResourceFailure
  | RolloutFailure;

/** Texts for one kind of failure. */
export interface FailureText<F> {
  /** Short name of the failure. */
  readonly title: string;
  /** Describes what happened, with the values of the failure. */
  readonly message: (failure: F) => string;
  /** What the reader can do about it. */
  readonly hint: string;
}

/** Texts for each kind of a union of failures. */
export type FailureTexts<F extends {kind: string}> = {
  readonly [K in F['kind']]: FailureText<Extract<F, {kind: K}>>;
};

/** Texts of all failures. */
export const failureCatalogue: FailureTexts<Failure> = {
  ...settingsFailures,
  ...processFailures,
  ...requestFailures,
  ...platformFailures,
  ...peerFailures,
  ...resourceFailures,
  ...rolloutFailures,
};

/** Error that carries a typed failure. */
export class FailureError extends Error {
  /**
   * @param failure - What went wrong.
   * @param options - Standard error options, for example the cause.
   */
  constructor(
    readonly failure: Failure,
    options?: ErrorOptions,
  ) {
    super(describeFailure(failure).message, options);
    this.name = 'FailureError';
  }
}

/**
 * Renders the texts of a failure.
 *
 * @param failure - Failure to describe.
 * @returns Title, message with the values of the failure, and hint.
 */
export function describeFailure(failure: Failure): {
  title: string;
  message: string;
  hint: string;
} {
  const text = failureCatalogue[failure.kind] as FailureText<Failure>;
  return {title: text.title, message: text.message(failure), hint: text.hint};
}
