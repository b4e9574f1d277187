import type {FailureTexts} from './catalogue.js';

/** Failures of the resource API. */
export type ResourceFailure =
  | {kind: 'resource-not-found'; resource: string}
  | {kind: 'resource-invalid'; path: string; reason: string}
  | {
      kind: 'resource-conflict';
      resource: string;
      expected: number;
      actual: number;
    }
  | {kind: 'operator-unauthenticated'}
  | {kind: 'operator-forbidden'};

/** Texts of the resource failures. */
export const resourceFailures: FailureTexts<ResourceFailure> = {
  'resource-not-found': {
    title: 'Resource not found',
    message: f => `resource "${f.resource}" does not exist`,
    hint: 'List the resources of this kind with "guavaseam get KIND".',
  },
  'resource-invalid': {
    title: 'Invalid resource',
    message: f => `field "${f.path}" ${f.reason}`,
    hint: 'docs/operations/resources.md describes each field.',
  },
  'resource-conflict': {
    title: 'Conflicting write',
    message: f =>
      `resource "${f.resource}" is at generation ${f.actual}, the write was made against ${f.expected}`,
    hint: 'Read the resource again and repeat the change.',
  },
  'operator-unauthenticated': {
    title: 'Unknown operator',
    message: () => 'the credential is missing or unknown',
    hint: 'Send an operator token as "Authorization: Bearer TOKEN".',
  },
  'operator-forbidden': {
    title: 'Not an operator',
    message: () => 'the credential belongs to a caller, not to an operator',
    hint: 'Callers cannot use the resource API; use an operator token.',
  },
};
