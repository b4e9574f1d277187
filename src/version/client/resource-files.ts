import {readdir, readFile, stat} from 'node:fs/promises';
import {join} from 'node:path';
import {FailureError} from '../../process/errors/catalogue.js';
import {isObject} from '../merge-patch.js';
import {checkSpec} from '../resources/check-spec.js';
import {resourceKinds, type ResourceKind} from '../resources/kinds.js';
import {namePattern} from '../resources/schemas.js';

/** A resource as a file declares it. */
export interface DeclaredResource {
  readonly kind: ResourceKind;
  readonly name: string;
  readonly spec: unknown;
  /** File that declares it. */
  readonly file: string;
}

/** Validation error in a file. */
export interface FileError {
  readonly file: string;
  /** JSON pointer from the root of the file. */
  readonly path: string;
  readonly reason: string;
}

/** Content of a directory of resource files. */
export interface ResourceFiles {
  readonly resources: readonly DeclaredResource[];
  readonly faults: readonly FileError[];
}

const nameCheck = new RegExp(namePattern);

/**
 * Reads one file, or all `.json` files below a directory, and checks each resource.
 *
 * @param path - File or directory.
 * @returns Valid resources, and all errors found.
 * @throws {@link FailureError} of kind `resource-file-unreadable`.
 */
export async function readResourceFiles(path: string): Promise<ResourceFiles> {
  const resources: DeclaredResource[] = [];
  const faults: FileError[] = [];
  const seen = new Map<string, string>();
  for (const file of await listFiles(path)) {
    const found = parseFile(
      file,
      await read(() => readFile(file, 'utf8'), file),
    );
    faults.push(...found.faults);
    for (const resource of found.resources) {
      const key = `${resource.kind}/${resource.name}`;
      const earlier = seen.get(key);
      if (earlier !== undefined) {
        faults.push({
          file,
          path: '/',
          reason: `declares ${key}, which ${earlier} also declares`,
        });
      } else {
        resources.push(resource);
      }
      seen.set(key, file);
    }
  }
  return {resources, faults};
}

async function listFiles(path: string): Promise<string[]> {
  if (!(await read(() => stat(path), path)).isDirectory()) return [path];
  const names = await read(() => readdir(path, {recursive: true}), path);
  return names
    .filter(name => name.endsWith('.json'))
    .sort()
    .map(name => join(path, name));
}

async function read<T>(fn: () => Promise<T>, file: string): Promise<T> {
  try {
    return await fn();
  } catch (err) {
    const reason = (err as NodeJS.ErrnoException).code ?? 'unknown error';
    throw new FailureError({kind: 'resource-file-unreadable', file, reason});
  }
}

function parseFile(file: string, text: string): ResourceFiles {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (err) {
    const reason = `is not valid JSON: ${(err as Error).message}`;
    return {resources: [], faults: [{file, path: '/', reason}]};
  }
  const list = Array.isArray(value) ? (value as unknown[]) : [value];
  const resources: DeclaredResource[] = [];
  const faults: FileError[] = [];
  list.forEach((item, index) => {
    const prefix = Array.isArray(value) ? `/${index}` : '';
    const errors = checkItem(item);
    faults.push(
      ...errors.map(({path, reason}) => ({file, path: prefix + path, reason})),
    );
    if (errors.length > 0) return;
    const {kind, name, spec} = item as DeclaredResource;
    resources.push({kind, name, spec, file});
  });
  return {resources, faults};
}

function checkItem(item: unknown): {path: string; reason: string}[] {
  if (!isObject(item)) return [{path: '/', reason: 'must be an object'}];
  const unknown = Object.keys(item).find(
    key => !['kind', 'name', 'spec'].includes(key),
  );
  if (unknown !== undefined) {
    return [{path: `/${unknown}`, reason: 'is not a known field'}];
  }
  const {kind, name, spec} = item;
  if (typeof kind !== 'string' || !Object.hasOwn(resourceKinds, kind)) {
    const known = Object.values(resourceKinds).join(', ');
    return [{path: '/kind', reason: `must be one of ${known}`}];
  }
  if (typeof name !== 'string' || !nameCheck.test(name)) {
    return [{path: '/name', reason: `must match ${namePattern}`}];
  }
  return checkSpec(kind as ResourceKind, spec);
}
