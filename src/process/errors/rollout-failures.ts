import type {FailureTexts} from './catalogue.js';

/** Failures of rollouts. */
export type RolloutFailure = {
  kind: 'rollout-unreadable';
  url: string;
  reason: string;
};

/** Texts of the rollout failures. */
export const rolloutFailures: FailureTexts<RolloutFailure> = {
  'rollout-unreadable': {
    title: 'Rollout status unreadable',
    message: f => `the status at ${f.url} cannot be read: ${f.reason}`,
    hint: 'Use the address of a host that runs rollouts.',
  },
};
