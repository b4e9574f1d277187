import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {parseArgs} from 'node:util';
import {request} from 'undici';
import {readExample} from '../../src/demo/example.js';
import {checkSettings} from '../../src/process/settings.js';
import {createHost, type Host} from '../../src/wiring.js';
import {findFreePorts} from '../fleet/free-ports.js';
import {findExcess, measureUse, type ResourceUse} from './resource-use.js';
import type {CycleOrder, CycleReport, LoadReady} from './soak-messages.js';

const loadProgram = fileURLToPath(
  new URL('./load-process.js', import.meta.url),
);

/** Length of the load between two measurements, in seconds. */
const cycleSeconds = 60;
/** Longest time for resources to be given back after a cycle, in milliseconds. */
const settleTimeoutMs = 45_000;
/** Time between two looks, in milliseconds. */
const settleCheckMs = 3000;
/**
 * Growth that is no leak, in bytes: compiled code, caches of routes and prefixes, and the keys and
 * answers of claims, which are kept for the retention and within bounds. A leak of 1 KB for each
 * request exceeds it after five minutes.
 */
const allowedBytes = 12_000_000;
/** Retention of claims, so short that keys are forgotten during the run, in milliseconds. */
const claimRetentionMs = 20_000;

/** Runs hosts under faults, and checks that they give everything back. */
export async function run(): Promise<void> {
  const {values} = parseArgs({
    args: process.argv.slice(3),
    options: {
      minutes: {type: 'string', default: '5'},
      seed: {type: 'string', default: '1'},
      rate: {type: 'string', default: '40'},
    },
  });
  const seed = Number(values.seed);
  const cycles = Math.max(1, Math.round(Number(values.minutes)));
  const load = fork(loadProgram, {
    stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
  });
  const hosts: Host[] = [];
  try {
    const origins = await startHosts(hosts, load);
    const order = (index: number, seconds: number): CycleOrder => ({
      kind: 'cycle',
      seed: seed + index,
      seconds,
      requestsPerSecond: Number(values.rate),
      abnormalPerSecond: 8,
      faults: true,
      origins,
    });
    print(`soak: ${cycles} cycles of ${cycleSeconds} s, seed ${seed}`);
    const idle = await measureUse(hosts);
    await runCycle(load, order(0, 20));
    const before = await settle(hosts, idle);
    printUse('after warm-up', before);
    let after = before;
    let duplicates = 0;
    for (let i = 1; i <= cycles; i++) {
      const report = await runCycle(load, order(i, cycleSeconds));
      ({duplicates} = report);
      after = await settle(hosts, before);
      printUse(`after cycle ${i}`, after);
      print(`  outcomes ${JSON.stringify(report.outcomes)}`);
      print(`  faults ${JSON.stringify(report.faults)}`);
      print(`  abnormal callers ${JSON.stringify(report.abnormal)}`);
    }
    const excess = findExcess(before, after, allowedBytes);
    if (duplicates > 0) excess.push(`duplicates: ${duplicates}`);
    for (const line of excess) print(`excess: ${line}`);
    print(excess.length > 0 ? 'soak: failed' : 'soak: passed');
    if (excess.length > 0) process.exitCode = 1;
  } finally {
    await Promise.all(hosts.map(host => host.stop()));
    load.kill('SIGKILL');
  }
}

async function startHosts(
  hosts: Host[],
  load: ChildProcess,
): Promise<string[]> {
  const [{platform}] = (await once(load, 'message')) as [LoadReady];
  const example = await readExample('himalchuli');
  const ports = await findFreePorts(example.hosts.length);
  load.send({
    kind: 'hosts',
    hosts: example.hosts.map((file, i) => ({
      id: file['host'],
      zone: file['zone'],
      address: `127.0.0.1:${ports[i]}`,
      state: 'live',
    })),
  });
  const origins: string[] = [];
  for (const [i, file] of example.hosts.entries()) {
    const host = createHost(
      checkSettings({
        ...structuredClone(file),
        callers: {
          address: '127.0.0.1',
          port: 0,
          headersTimeoutMs: 3000,
          requestTimeoutMs: 5000,
        },
        peers: {
          address: '127.0.0.1',
          port: ports[i],
          seeds: ports
            .filter(port => port !== ports[i])
            .map(port => `127.0.0.1:${port}`),
          tls: {mode: 'plain'},
        },
        platform,
        claims: {retentionMs: claimRetentionMs},
        logLevel: 'silent',
      }),
    );
    hosts.push(host);
    origins.push(`http://127.0.0.1:${(await host.start()).callersPort}`);
  }
  for (const origin of origins) await untilReady(origin);
  return origins;
}

async function untilReady(origin: string): Promise<void> {
  for (let tries = 0; tries < 100; tries++) {
    // A connection of its own, which is not counted later.
    const res = await request(`${origin}/readyz`, {reset: true});
    await res.body.dump();
    if (res.statusCode === 200) return;
    await sleep(100);
  }
  throw new Error(`host ${origin} is not ready`);
}

async function runCycle(
  load: ChildProcess,
  order: CycleOrder,
): Promise<CycleReport> {
  load.send(order);
  const [report] = (await once(load, 'message')) as [CycleReport];
  return report;
}

/** Waits until nothing exceeds an earlier use, or for the longest allowed time. */
async function settle(
  hosts: readonly Host[],
  before: ResourceUse,
): Promise<ResourceUse> {
  for (let waitedMs = 0; ; waitedMs += settleCheckMs) {
    await sleep(settleCheckMs);
    const use = await measureUse(hosts);
    const settled = findExcess(before, use, allowedBytes).length === 0;
    if (settled || waitedMs >= settleTimeoutMs) return use;
  }
}

function printUse(when: string, use: ResourceUse): void {
  const megabytes = (use.memoryBytes / 1e6).toFixed(1);
  print(
    `${when}: ${megabytes} MB, active ${JSON.stringify(use.active)}, queues ${JSON.stringify(use.queues)}`,
  );
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
