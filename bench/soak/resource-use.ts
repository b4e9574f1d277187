import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import type {Host} from '../../src/wiring.js';

/** What the hosts of this process hold at one time. */
export interface ResourceUse {
  /** Heap and buffers in use after garbage collection, in bytes. */
  readonly memoryBytes: number;
  /** Active resources of Node.js by type, for example `TCPSocketWrap` and `Timeout`. */
  readonly active: Readonly<Record<string, number>>;
  /** Gauges of the hosts that count queued or running work, summed over the hosts. */
  readonly queues: Readonly<Record<string, number>>;
}

/** Gauges that count work in progress. Other gauges, such as offsets, grow by design. */
const queueGauge =
  /^(guavaseam_[a-z_]*(?:connections|requests|waiting|outstanding|held|in_flight|queued?))(?:\{[^}]*\})? ([0-9.e+-]+)$/;

/** Resources of the measuring process itself, or ones that are pooled by the runtime. */
const ignoredActive = new Set(['PipeWrap', 'FSReqCallback', 'FSReqPromise']);

/**
 * Collects garbage and reads what is in use.
 *
 * @param hosts - Hosts of this process.
 * @returns What is in use.
 */
export async function measureUse(hosts: readonly Host[]): Promise<ResourceUse> {
  const queues: Record<string, number> = {};
  for (const host of hosts) addQueues(queues, await host.metrics.render());
  collectGarbage();
  const {heapUsed, external} = process.memoryUsage();
  const active: Record<string, number> = {};
  for (const type of process.getActiveResourcesInfo()) {
    if (!ignoredActive.has(type)) active[type] = (active[type] ?? 0) + 1;
  }
  return {memoryBytes: heapUsed + external, active, queues};
}

/** Adds the queue gauges of a metrics text to sums by name. */
export function addQueues(sums: Record<string, number>, text: string): void {
  for (const line of text.split('\n')) {
    const match = queueGauge.exec(line);
    if (match) sums[match[1]] = (sums[match[1]] ?? 0) + Number(match[2]);
  }
}

/**
 * Lists what is in use beyond an earlier time.
 *
 * @param before - Use before the load.
 * @param after - Use after the load.
 * @param allowedBytes - Growth of memory that is no leak.
 * @returns One line for each excess; empty if there is none.
 */
export function findExcess(
  before: ResourceUse,
  after: ResourceUse,
  allowedBytes: number,
): string[] {
  const excess: string[] = [];
  const grown = after.memoryBytes - before.memoryBytes;
  if (grown > allowedBytes) {
    excess.push(`memory: ${grown} bytes more, ${allowedBytes} allowed`);
  }
  for (const part of ['active', 'queues'] as const) {
    for (const [name, count] of Object.entries(after[part])) {
      const was = before[part][name] ?? 0;
      if (count > was) excess.push(`${name}: ${was} before, ${count} after`);
    }
  }
  return excess;
}

function collectGarbage(): void {
  setFlagsFromString('--expose-gc');
  const gc = runInNewContext('gc') as () => void;
  // Finalizers of the first run free further objects.
  for (let i = 0; i < 3; i++) gc();
}
