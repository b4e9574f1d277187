import {readdir, readFile} from 'node:fs/promises';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import type {
  ResourceKind,
  ResourceSpecs,
  Tier,
} from '../version/resources/kinds.js';

/** Names of the deployments that ship as examples. */
export const exampleNames = ['himalchuli', 'nattro'] as const;

/** Folder of the examples in the package. */
const examplesFolder = fileURLToPath(
  new URL('../../../examples/', import.meta.url),
);

/** A resource as an example file states it. */
export type ExampleResource = {
  [K in ResourceKind]: {
    readonly kind: K;
    readonly name: string;
    readonly spec: ResourceSpecs[K];
  };
}[ResourceKind];

/** A caller's key in plain text; examples only. */
export interface ExampleKey {
  readonly organisation: string;
  readonly tier: Tier;
  readonly token: string;
}

/** An example deployment, as read from its files. */
export interface Example {
  readonly name: string;
  /** Resources; zones and services come before what refers to them. */
  readonly resources: readonly ExampleResource[];
  /** Settings of its hosts, unchecked. */
  readonly hosts: readonly Record<string, unknown>[];
  readonly keys: readonly ExampleKey[];
  readonly operatorToken: string;
}

const kindOrder: readonly ResourceKind[] = [
  'zone',
  'service',
  'organisation',
  'target',
  'rollout',
];

/**
 * Reads an example.
 *
 * @param name - Name of the example.
 * @returns Its resources, host settings and keys.
 * @throws Error if a file cannot be read.
 */
export async function readExample(
  name: (typeof exampleNames)[number],
): Promise<Example> {
  const root = join(examplesFolder, name);
  const files = await readFolder(join(root, 'resources'));
  const resources = files.flat() as ExampleResource[];
  resources.sort(
    (a, b) => kindOrder.indexOf(a.kind) - kindOrder.indexOf(b.kind),
  );
  const {keys, operatorToken} = JSON.parse(
    await readFile(join(root, 'example-keys.json'), 'utf8'),
  ) as {keys: ExampleKey[]; operatorToken: string};
  const hosts = (await readFolder(join(root, 'hosts'))) as Record<
    string,
    unknown
  >[];
  return {name, resources, hosts, keys, operatorToken};
}

/** Reads all JSON files of a folder, in the order of their names. */
async function readFolder(folder: string): Promise<unknown[]> {
  const names = (await readdir(folder)).filter(name => name.endsWith('.json'));
  return Promise.all(
    names.sort().map(async name => {
      const text = await readFile(join(folder, name), 'utf8');
      return JSON.parse(text) as unknown;
    }),
  );
}
