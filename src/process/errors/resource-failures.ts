import type {FailureTexts} from './catalogue.js';

/** Failures of the resource API and of its commands. */
export type ResourceFailure =
  | {kind: 'resource-not-found'; resource: string}
  | {kind: 'resource-kind-unknown'; name: string; known: readonly string[]}
  | {kind: 'resource-name-invalid'; name: string}
  | {kind: 'resource-invalid'; path: string; reason: string}
  | {kind: 'resource-body-malformed'; reason: string}
  | {kind: 'resource-body-too-large'; maxBytes: number}
  | {kind: 'resource-media-type'; mediaType: string}
  | {kind: 'resource-method'; method: string}
  | {
      kind: 'resource-conflict';
      resource: string;
      expected: number;
      actual: number;
    }
  | {kind: 'resource-precondition'; resource: string; actual: number}
  | {kind: 'resource-etag-malformed'; header: string; value: string}
  | {kind: 'watch-too-old'; from: number; first: number}
  | {kind: 'watch-limit'; limit: number}
  | {kind: 'write-unavailable'; writeId: string; accepted: 'no' | 'unknown'}
  | {kind: 'write-not-found'; writeId: string; readUpTo: number}
  | {kind: 'operator-unauthenticated'}
  | {kind: 'operator-forbidden'}
  | {kind: 'resource-file-unreadable'; file: string; reason: string}
  | {kind: 'resource-file-malformed'; file: string; reason: string}
  | {kind: 'host-unreachable'; host: string; reason: string}
  | {kind: 'host-answer-unexpected'; host: string; reason: string};

/** Texts of the resource failures. */
export const resourceFailures: FailureTexts<ResourceFailure> = {
  'resource-not-found': {
    title: 'Resource not found',
    message: f => `resource "${f.resource}" does not exist`,
    hint: 'List the resources of this kind with "guavaseam get KIND".',
  },
  'resource-kind-unknown': {
    title: 'Unknown kind',
    message: f =>
      `kind "${f.name}" does not exist; known kinds are ${f.known.join(', ')}`,
    hint: 'docs/operations/resources.md describes each kind.',
  },
  'resource-name-invalid': {
    title: 'Invalid name',
    message: f => `"${f.name}" is not a valid resource name`,
    hint: 'Use 1 to 63 lower-case letters, digits and hyphens, without a hyphen at either end.',
  },
  'resource-invalid': {
    title: 'Invalid resource',
    message: f => `field "${f.path}" ${f.reason}`,
    hint: 'docs/operations/resources.md describes each field.',
  },
  'resource-body-malformed': {
    title: 'Malformed body',
    message: f => `the body is invalid: ${f.reason}`,
    hint: 'Send a JSON object with the member "spec".',
  },
  'resource-body-too-large': {
    title: 'Body too large',
    message: f => `the body is larger than ${f.maxBytes} bytes`,
    hint: 'Split the resource; one resource is far smaller than this.',
  },
  'resource-media-type': {
    title: 'Unsupported media type',
    message: f => `media type "${f.mediaType}" is not supported here`,
    hint: 'Use application/json, or application/merge-patch+json for PATCH.',
  },
  'resource-method': {
    title: 'Method not allowed',
    message: f => `method ${f.method} is not supported on this path`,
    hint: 'docs/operations/configuration.md lists the methods of each path.',
  },
  'resource-conflict': {
    title: 'Conflicting write',
    message: f =>
      `resource "${f.resource}" is at generation ${f.actual}, the write was made against ${f.expected}`,
    hint: 'Read the resource again and reapply the change.',
  },
  'resource-precondition': {
    title: 'Precondition failed',
    message: f =>
      f.actual === 0
        ? `resource "${f.resource}" does not exist`
        : `resource "${f.resource}" exists at generation ${f.actual}`,
    hint: 'Read the resource again and decide whether the write still applies.',
  },
  'resource-etag-malformed': {
    title: 'Malformed entity tag',
    message: f => `header ${f.header} has the value ${f.value}`,
    hint: 'Send * or the ETag of an earlier response, for example "3" with its quotes.',
  },
  'watch-too-old': {
    title: 'Offset no longer available',
    message: f =>
      `changes from offset ${f.from} are not available here; the oldest available is ${f.first}`,
    hint: 'List the resources and watch from the offset of the list.',
  },
  'watch-limit': {
    title: 'Too many watches',
    message: f => `this host already serves ${f.limit} watches`,
    hint: 'Use another host or end unused watches.',
  },
  'write-unavailable': {
    title: 'Write not confirmed',
    message: f =>
      f.accepted === 'no'
        ? `write ${f.writeId} was not accepted: the log is unavailable and no record was sent to it`
        : `the outcome of write ${f.writeId} is unknown: the log did not confirm its record`,
    hint: 'Look the write up with GET /api/v1/writes/ID, or retry it with the same Write-Id.',
  },
  'write-not-found': {
    title: 'Write not found',
    message: f =>
      `write ${f.writeId} is not among the recent records below offset ${f.readUpTo}`,
    hint: 'A record that has not reached the log yet may appear later.',
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
  'resource-file-unreadable': {
    title: 'File cannot be read',
    message: f => `cannot read "${f.file}": ${f.reason}`,
    hint: 'Check the path and the permissions.',
  },
  'resource-file-malformed': {
    title: 'Malformed resource file',
    message: f => `file "${f.file}" ${f.reason}`,
    hint: 'A file holds {"kind", "name", "spec"} or an array of these, as JSON.',
  },
  'host-unreachable': {
    title: 'Host unreachable',
    message: f => `host ${f.host} cannot be reached: ${f.reason}`,
    hint: 'Check --host; any host of the fleet can be used.',
  },
  'host-answer-unexpected': {
    title: 'Unexpected response',
    message: f => `unexpected response from host ${f.host}: ${f.reason}`,
    hint: 'Check that --host names a host of this system and of the same release.',
  },
};
