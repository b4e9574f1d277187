import type {RefusalReason} from '../../request/refusals.js';
import type {FailureTexts} from './catalogue.js';

/** Failures of one caller's request. */
export type RequestFailure =
  | {
      kind: 'refused';
      reason: RefusalReason;
      detail?: string;
      retryAfterMs?: number;
    }
  | {kind: 'target-unreachable'; target: string; reason: string}
  | {kind: 'target-stream-broken'; target: string; bytes: number};

/** Texts of the request failures. */
export const requestFailures: FailureTexts<RequestFailure> = {
  refused: {
    title: 'Request refused',
    message: f =>
      `request refused: ${f.reason}${f.detail ? `: ${f.detail}` : ''}`,
    hint: 'docs/operations/refusals.md explains each reason.',
  },
  'target-unreachable': {
    title: 'Target unreachable',
    message: f => `cannot connect to target "${f.target}": ${f.reason}`,
    hint: 'Check that the target is running and that its declared address is right.',
  },
  'target-stream-broken': {
    title: 'Target broke off its answer',
    message: f =>
      `target "${f.target}" broke off its answer after ${f.bytes} bytes`,
    hint: 'Check the log of the target.',
  },
};
