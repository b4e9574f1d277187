import type {FailureTexts} from './catalogue.js';

/** Failures of rollouts. */
export type RolloutFailure =
  | {kind: 'rollout-not-found'; name: string}
  | {kind: 'rollout-unreadable'; url: string; reason: string}
  | {kind: 'rollout-lease-lost'; name: string};

/** Texts of the rollout failures. */
export const rolloutFailures: FailureTexts<RolloutFailure> = {
  'rollout-not-found': {
    title: 'Rollout not found',
    message: f => `rollout "${f.name}" does not exist`,
    hint: 'List the rollouts with GET /api/v1/rollout.',
  },
  'rollout-unreadable': {
    title: 'Rollout status not readable',
    message: f => `the status at ${f.url} cannot be read: ${f.reason}`,
    hint: 'Check the address of the host and the operator token.',
  },
  'rollout-lease-lost': {
    title: 'Rollout lease lost',
    message: f => `this host no longer leads rollout "${f.name}"`,
    hint: 'Another host goes on with the rollout; nothing has to be done.',
  },
};
