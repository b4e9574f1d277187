import type {IncomingMessage} from 'node:http';
import {isDeepStrictEqual} from 'node:util';
import type {Clock} from '../../process/clock.js';
import {FailureError} from '../../process/errors/catalogue.js';
import {getResource, resourceKey} from '../../version/config-state.js';
import type {ConfigStore} from '../../version/config-store.js';
import {
  toWriteResult,
  type ConfigWriter,
  type WriteResult,
} from '../../version/config-writer.js';
import {isObject, mergePatch} from '../../version/merge-patch.js';
import {checkReferences, findReferrers} from '../../version/references.js';
import {
  checkSpec,
  type FieldError,
} from '../../version/resources/check-spec.js';
import type {
  Resource,
  ResourceKind,
  ResourceSpecs,
} from '../../version/resources/kinds.js';
import type {Precondition} from './resource-request.js';

/** Maximum retries, after lost races, of a write without a precondition on the generation. */
const raceRetries = 5;
const maxWriteIdLength = 255;

/** A write as an operator requested it. */
export interface RequestedWrite {
  readonly method: 'PUT' | 'PATCH' | 'DELETE';
  readonly kind: ResourceKind;
  readonly name: string;
  /** Body of PUT and PATCH. */
  readonly body?: Record<string, unknown>;
  readonly precondition: Precondition;
  readonly dryRun: boolean;
  readonly actor: string;
  /** Id for looking up the write, chosen by the operator; generated if absent. */
  readonly writeId?: string;
}

/** Response of the API to a write. */
export type WriteResponse =
  | {
      kind: 'done';
      /** `unchanged` if the resource already had this spec, so nothing was written. */
      change: 'created' | 'updated' | 'deleted' | 'unchanged';
      writeId?: string;
      /** Offset of the record; absent if nothing was written. */
      offset?: number;
      generation: number;
      warnings: readonly string[];
      /** Resulting spec, if nothing was written: of a dry run or an unchanged resource. */
      spec?: unknown;
    }
  | {kind: 'invalid'; errors: readonly FieldError[]};

/** Process-wide objects that writes use. */
export interface ResourceWriteParts {
  readonly store: ConfigStore;
  readonly writer: ConfigWriter;
  readonly clock: Clock;
}

/**
 * Parses the write id that an operator chose.
 *
 * @param req - Request with its headers.
 * @returns The id, or `undefined` if the header is absent.
 * @throws {@link FailureError} of kind `resource-invalid`.
 */
export function parseWriteId(req: IncomingMessage): string | undefined {
  const value = req.headers['write-id'];
  if (value === undefined) return undefined;
  if (
    typeof value === 'string' &&
    value.length > 0 &&
    value.length <= maxWriteIdLength
  ) {
    return value;
  }
  const reason = `must have 1 to ${maxWriteIdLength} characters`;
  throw new FailureError({kind: 'resource-invalid', path: 'Write-Id', reason});
}

/**
 * Performs a write. If it loses a race, it is retried against the newer state, unless it has a
 * precondition on the generation or a write id.
 *
 * @param parts - Process-wide objects that writes use.
 * @param write - Write that the operator requested.
 * @returns Result of the write, or the errors that make it invalid.
 * @throws {@link FailureError} of a resource kind.
 */
export async function performWrite(
  parts: ResourceWriteParts,
  write: RequestedWrite,
): Promise<WriteResponse> {
  const earlier = write.writeId && findEarlier(parts, write, write.writeId);
  if (earlier) return earlier;
  for (let attempt = 0; ; attempt++) {
    const plan = await planWrite(parts, write);
    if (plan.kind === 'answer') return plan.answer;
    const result = await parts.writer.write({
      actor: write.actor,
      time: new Date(parts.clock.wallMs()).toISOString(),
      op: write.method === 'DELETE' ? 'delete' : 'put',
      kind: write.kind,
      name: write.name,
      baseGeneration: plan.base,
      ...(plan.spec && {spec: plan.spec}),
      // A retry after a lost race is another write; the operator's id names the first one.
      ...(attempt === 0 && write.writeId && {writeId: write.writeId}),
    });
    const lostRace = result.kind === 'conflict';
    const mayRetry =
      write.precondition.kind === 'none' ||
      write.precondition.kind === 'exists';
    if (lostRace && mayRetry && !write.writeId && attempt < raceRetries) {
      continue;
    }
    return toWriteResponse(write, plan, result);
  }
}

/** A write that is ready to be appended. */
interface WritePlan {
  readonly kind: 'append';
  readonly base: number;
  readonly spec?: ResourceSpecs[ResourceKind];
  readonly change: 'created' | 'updated' | 'deleted';
  readonly warnings: readonly string[];
}

async function planWrite(
  parts: ResourceWriteParts,
  write: RequestedWrite,
): Promise<WritePlan | {kind: 'answer'; answer: WriteResponse}> {
  const {store} = parts;
  const current = getResource(store.state, write.kind, write.name);
  checkPrecondition(write, current);
  if (write.method === 'DELETE') return planDelete(store, write, current);
  const spec = requestedSpec(write, current);
  let errors = checkSpec(write.kind, spec);
  if (errors.length === 0) {
    errors = checkReferences(store.state, write.kind, spec);
    // Another host may have accepted the referenced resource recently.
    if (errors.length > 0 && (await parts.writer.refresh())) {
      errors = checkReferences(store.state, write.kind, spec);
    }
  }
  if (errors.length > 0)
    return {kind: 'answer', answer: {kind: 'invalid', errors}};
  const change = current ? 'updated' : 'created';
  const generation = current?.generation ?? 0;
  if (current && isDeepStrictEqual(current.spec, spec)) {
    return answered('unchanged', generation, spec);
  }
  if (write.dryRun) return answered(change, generation + 1, spec);
  return {
    kind: 'append',
    base: generation,
    spec: spec as ResourceSpecs[ResourceKind],
    change,
    warnings: [],
  };
}

function planDelete(
  store: ConfigStore,
  write: RequestedWrite,
  current: Resource | undefined,
): WritePlan | {kind: 'answer'; answer: WriteResponse} {
  if (!current) throw notFound(write);
  const warnings = findReferrers(store.state, write.kind, write.name);
  const {generation} = current;
  if (write.dryRun)
    return answered('deleted', generation + 1, undefined, warnings);
  return {kind: 'append', base: generation, change: 'deleted', warnings};
}

function requestedSpec(
  {method, kind, name, body = {}}: RequestedWrite,
  current: Resource | undefined,
): unknown {
  if (method === 'PATCH') {
    if (!current) throw notFound({kind, name});
    const patched = mergePatch({spec: current.spec}, body);
    return isObject(patched) ? patched['spec'] : undefined;
  }
  for (const [field, wanted] of Object.entries({kind, name})) {
    if (body[field] === undefined || body[field] === wanted) continue;
    const reason = `must be "${wanted}" as in the path`;
    throw new FailureError({
      kind: 'resource-invalid',
      path: `/${field}`,
      reason,
    });
  }
  if (!isObject(body['spec'])) {
    const reason = 'must be an object';
    throw new FailureError({kind: 'resource-invalid', path: '/spec', reason});
  }
  return body['spec'];
}

function checkPrecondition(
  {kind, name, precondition}: RequestedWrite,
  current: Resource | undefined,
): void {
  const actual = current?.generation ?? 0;
  const holds =
    precondition.kind === 'none' ||
    (precondition.kind === 'absent' && actual === 0) ||
    (precondition.kind === 'exists' && actual > 0) ||
    (precondition.kind === 'generation' &&
      precondition.generations.includes(actual));
  if (holds) return;
  const resource = resourceKey(kind, name);
  if (precondition.kind === 'generation') {
    const expected = precondition.generations[0];
    throw new FailureError({
      kind: 'resource-conflict',
      resource,
      expected,
      actual,
    });
  }
  throw new FailureError({kind: 'resource-precondition', resource, actual});
}

function findEarlier(
  {store}: ResourceWriteParts,
  write: RequestedWrite,
  writeId: string,
): WriteResponse | undefined {
  const known = store.state.recentWrites.get(writeId);
  if (!known) return undefined;
  const plan: WritePlan = {
    kind: 'append',
    base: 0,
    change: write.method === 'DELETE' ? 'deleted' : 'updated',
    warnings: [
      'this write id was used before; this is the outcome of that write',
    ],
  };
  return toWriteResponse(write, plan, toWriteResult(writeId, known));
}

function toWriteResponse(
  write: RequestedWrite,
  plan: WritePlan,
  result: WriteResult,
): WriteResponse {
  const resource = resourceKey(write.kind, write.name);
  switch (result.kind) {
    case 'accepted': {
      const {generation, writeId, offset} = result;
      const {change, warnings} = plan;
      return {kind: 'done', change, generation, writeId, offset, warnings};
    }
    case 'conflict': {
      const {expected, actual} = result;
      throw new FailureError({
        kind: 'resource-conflict',
        resource,
        expected,
        actual,
      });
    }
    case 'invalid':
      return {kind: 'invalid', errors: result.errors};
    default: {
      const {writeId, accepted} = result;
      throw new FailureError({kind: 'write-unavailable', writeId, accepted});
    }
  }
}

function answered(
  change: 'created' | 'updated' | 'deleted' | 'unchanged',
  generation: number,
  spec?: unknown,
  warnings: readonly string[] = [],
): {kind: 'answer'; answer: WriteResponse} {
  return {
    kind: 'answer',
    answer: {kind: 'done', change, generation, spec, warnings},
  };
}

function notFound({kind, name}: {kind: ResourceKind; name: string}) {
  const resource = resourceKey(kind, name);
  return new FailureError({kind: 'resource-not-found', resource});
}
