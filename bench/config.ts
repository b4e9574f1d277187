import {
  emptyConfig,
  foldRecord,
  type ConfigRecord,
  type ConfigState,
} from '../src/version/config-state.js';
import {LocalClaimSubmitter} from '../src/version/claims/claim-submitter.js';
import {
  LogClaimGate,
  UnknownStatusSource,
} from '../src/version/claims/log-claim-gate.js';
import {encodeSnapshot} from '../src/version/snapshots/snapshot-format.js';
import {ManualClock} from '../stand-ins/manual-clock.js';
import {MemoryLogClient} from '../stand-ins/memory-log-client.js';
import {seededRandom, type Random} from '../stand-ins/seeded-random.js';

const seed = 1;
/** Changes folded after the resources exist: one day at the design scale. */
const changes = 7100;
const claimSeconds = 20;
const partitions = 64;
const appendsPerSecond = 200;
/** Delay of each call to the log, in milliseconds. */
const logDelayMs = 10;

/** Measures the configuration fold and the batching of claims. */
export async function run(): Promise<void> {
  const lines = [`seed ${seed}`, '', 'Configuration:', ''];
  lines.push(
    '| resources | fold, µs per record | heap after a day, MB | snapshot, KB | snapshot records |',
    '|---|---|---|---|---|',
  );
  for (const resources of [300, 1000, 3000]) lines.push(measureFold(resources));
  lines.push('', 'Claims, in virtual time:', '');
  lines.push(
    '| claims per second | claims per append | appends per second | mean delay, ms | greatest delay, ms |',
    '|---|---|---|---|---|',
  );
  for (const rate of [10, 100, 355, 1000])
    lines.push(await measureClaims(rate));
  process.stdout.write(`${lines.join('\n')}\n`);
}

function measureFold(resources: number): string {
  const random = seededRandom(seed);
  // One run warms up the code, the second is measured.
  fold(resources, random);
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const {state, perRecordUs} = fold(resources, random);
  globalThis.gc?.();
  const heapMb = (process.memoryUsage().heapUsed - before) / 1e6;
  const parts = encodeSnapshot(state, 'bench', '2026-01-01T00:00:00Z');
  const bytes = parts.reduce(
    (sum, part) => sum + JSON.stringify(part).length,
    0,
  );
  const heap = globalThis.gc ? heapMb.toFixed(1) : 'needs --expose-gc';
  return `| ${resources} | ${perRecordUs.toFixed(1)} | ${heap} | ${Math.round(bytes / 1000)} | ${parts.length} |`;
}

function fold(resources: number, random: Random) {
  let state: ConfigState = emptyConfig;
  for (let i = 0; i < resources; i++) {
    state = foldRecord(state, targetRecord(i, i), i).state;
  }
  const records = Array.from({length: changes}, (_, i) =>
    targetRecord(Math.floor(random() * resources), resources + i),
  );
  const startMs = performance.now();
  for (const record of records) {
    state = foldRecord(state, record, state.offset).state;
  }
  const perRecordUs = ((performance.now() - startMs) * 1000) / changes;
  return {state, perRecordUs};
}

function targetRecord(index: number, write: number): ConfigRecord {
  return {
    writeId: `00000000-0000-4000-8000-${String(write).padStart(12, '0')}`,
    actor: 'operator',
    time: '2026-01-01T00:00:00.000Z',
    op: 'put',
    kind: 'target',
    name: `target-${index}`,
    baseGeneration: -1,
    spec: {
      service: `service-${index % 8}`,
      zone: `zone-${index % 8}`,
      address: `http://10.0.${index >> 8}.${index & 255}:9001`,
      version: `v${write}`,
      hardware: 'generation-2',
      maxConcurrency: 64,
      coldConcurrency: 2,
      checksFencing: true,
      state: 'active',
    },
  };
}

async function measureClaims(perSecond: number): Promise<string> {
  const clock = new ManualClock();
  const log = new MemoryLogClient(clock);
  log.faults.slowMs = logDelayMs;
  const submitter = new LocalClaimSubmitter({
    log,
    clock,
    random: seededRandom(seed),
    ledgerRetentionMs: 3_600_000,
    appendsPerSecond: () => appendsPerSecond,
  });
  const gate = new LogClaimGate({
    host: 'bench',
    clock,
    submitter,
    statusSource: new UnknownStatusSource(),
    partitions,
    retentionMs: 3_600_000,
  });
  const delays: number[] = [];
  let refused = 0;
  const claim = async (id: number) => {
    const startMs = clock.nowMs();
    try {
      await gate.claim({
        scopeKey: `organisation service key-${id}`,
        requestHash: 'hash',
        requestId: `request-${id}`,
      });
      delays.push(clock.nowMs() - startMs);
    } catch {
      refused++;
    }
  };
  const total = perSecond * claimSeconds;
  let sent = 0;
  while (delays.length + refused < total) {
    const due = Math.min(total, Math.floor((clock.nowMs() * perSecond) / 1000));
    while (sent < due) void claim(sent++);
    await new Promise(resolve => setImmediate(resolve));
    clock.advance(5);
  }
  const mean = delays.reduce((sum, ms) => sum + ms, 0) / delays.length;
  const greatest = delays.reduce((max, ms) => Math.max(max, ms), 0);
  const rate = submitter.appends / (clock.nowMs() / 1000);
  const refusedText = refused > 0 ? ` (${refused} refused)` : '';
  return `| ${perSecond}${refusedText} | ${(total / submitter.appends).toFixed(1)} | ${rate.toFixed(0)} | ${mean.toFixed(0)} | ${greatest.toFixed(0)} |`;
}
