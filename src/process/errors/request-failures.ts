import type {Execution, RefusalReason} from '../../request/refusals.js';
import type {FailureTexts} from './catalogue.js';

/** Failures of one caller's request. */
export type RequestFailure =
  | {
      kind: 'refused';
      reason: RefusalReason;
      detail?: string;
      retryAfterMs?: number;
      /** Set to `unknown` if an earlier attempt may have run. */
      execution?: Execution;
    }
  | {kind: 'target-unreachable'; target: string; reason: string}
  | {kind: 'target-stream-broken'; target: string; bytes: number}
  | {kind: 'target-resume-refused'; target: string; status: number}
  | {kind: 'caller-left'; execution: Execution};

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
    hint: 'Check that the target is running and that its declared address is correct.',
  },
  'target-stream-broken': {
    title: 'Response of a target cut short',
    message: f =>
      `response of target "${f.target}" was cut short after ${f.bytes} bytes`,
    hint: 'Check the log of the target.',
  },
  'target-resume-refused': {
    title: 'Target cannot resume a stream',
    message: f =>
      `target "${f.target}" responded with status ${f.status} to a request to resume a stream`,
    hint: 'Engines lose their streams in a restart; the request is retried where that is safe.',
  },
  'caller-left': {
    title: 'Caller closed the connection',
    message: () => 'the caller closed the connection before the response ended',
    hint: 'Check the timeouts of the caller.',
  },
};
