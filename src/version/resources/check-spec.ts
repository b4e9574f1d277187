import {Ajv, type ErrorObject, type ValidateFunction} from 'ajv';
import {resourceKinds, type ResourceKind} from './kinds.js';
import {recordSchema, specSchemas} from './schemas.js';

/** Validation error of one field. */
export interface FieldError {
  /** JSON pointer, for example `/spec/canaryShare`. */
  readonly path: string;
  /** What is wrong, for example `must be <= 0.05`. */
  readonly reason: string;
}

const ajv = new Ajv({allErrors: true, strict: true});
const validateRecord = ajv.compile(recordSchema);
const strictChecks = compileSpecs(schema => schema);
const tolerantChecks = compileSpecs(allowUnknownFields);

/**
 * Validates a spec before it is written; unknown fields are errors.
 *
 * @param kind - Kind of the resource.
 * @param spec - Spec to validate.
 * @returns All errors; empty if the spec is valid.
 */
export function checkSpec(kind: ResourceKind, spec: unknown): FieldError[] {
  return run(strictChecks[kind], spec, '/spec');
}

/**
 * Validates a record while it is folded. Unknown fields of the spec are allowed, so that hosts of an
 * older release fold a record with a new field to the same outcome as newer hosts.
 *
 * @param record - Data of a log record.
 * @returns All errors; empty if the record is valid.
 */
export function checkRecord(record: unknown): FieldError[] {
  const errors = run(validateRecord, record, '');
  if (errors.length > 0) return errors;
  const {op, kind, spec} = record as {
    op: string;
    kind: ResourceKind;
    spec?: unknown;
  };
  return op === 'delete' ? [] : run(tolerantChecks[kind], spec, '/spec');
}

function run(
  check: ValidateFunction,
  value: unknown,
  prefix: string,
): FieldError[] {
  if (check(value)) return [];
  return (check.errors ?? []).map(err => toFieldError(err, prefix));
}

function toFieldError(err: ErrorObject, prefix: string): FieldError {
  const path = prefix + err.instancePath;
  switch (err.keyword) {
    case 'additionalProperties':
      return {
        path: `${path}/${String(err.params['additionalProperty'])}`,
        reason: 'is not a known field',
      };
    case 'required':
      return {
        path: `${path}/${String(err.params['missingProperty'])}`,
        reason: 'is required',
      };
    case 'enum':
      return {
        path,
        reason: `must be one of ${(err.params['allowedValues'] as unknown[]).join(', ')}`,
      };
    default:
      return {path: path || '/', reason: err.message ?? 'is invalid'};
  }
}

function compileSpecs(
  prepare: (schema: object) => object,
): Record<ResourceKind, ValidateFunction> {
  const entries = Object.values(resourceKinds).map(kind => [
    kind,
    ajv.compile(prepare(specSchemas[kind])),
  ]);
  return Object.fromEntries(entries) as Record<ResourceKind, ValidateFunction>;
}

function allowUnknownFields(schema: object): object {
  return JSON.parse(
    JSON.stringify(schema, (key, value: unknown) =>
      key === 'additionalProperties' ? undefined : value,
    ),
  ) as object;
}
