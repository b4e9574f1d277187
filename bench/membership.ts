import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
  decodeLinkMessage,
  encodeLinkMessage,
} from '../src/connection/peer/peer-codec.js';
import type {LinkMessage} from '../src/process/membership/messages.js';
import {ManualClock} from '../stand-ins/manual-clock.js';
import {MembershipNetwork} from '../stand-ins/membership-network.js';
import {measureLinks} from './peer-link-cost.js';

const sizes = [9, 36, 90, 360];
const zones = 8;
const seed = 1;
/** The updates of a fleet of 360 that starts at once are spread for about a minute. */
const warmUpMs = 120_000;
const measuredMs = 36_000;
/** The wait for an offset to reach a zone ends after this time. */
const maxStalenessMs = 30_000;
/** 7,100 configuration changes a day, each of which every host announces. */
const changeIntervalMs = 86_400_000 / 7100;
const crashes = 8;

/** Bytes on the wire in addition to the protobuf content. */
const overhead = {
  grpcPrefix: 5,
  http2DataFrame: 9,
  /** TLS 1.3 record: header 5, content type 1, tag 16. */
  tlsRecord: 22,
  /** IPv4 20, TCP 20 and timestamps 12. */
  tcpIp: 52,
} as const;
const perMessage = Object.values(overhead).reduce((sum, n) => sum + n, 0);

/** Limits of the control budget of a host; the membership shares them with the permits. */
const budget = {bytesPerSecond: 13_000, core: 0.017, bytes: 64_000_000};

interface Row {
  members: number;
  /** Sent and received, with overhead. */
  bytesPerSecond: number;
  messagesPerSecond: number;
  meanContentBytes: number;
  /** Core of the logic, codec and simulation, without gRPC. */
  logicCore: number;
  heapBytes: number;
  maxConfirmMs: number;
  offsetStalenessMs: number;
}

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

function heapBytes(): number {
  collect();
  return process.memoryUsage().heapUsed;
}

function cpuSeconds(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / 1_000_000;
}

/** The receiver acknowledges a message by TCP alone unless it answers at once. */
function needsOwnTcpAck(message: LinkMessage): boolean {
  return !message.ping?.sequence;
}

function measure(members: number): Row {
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const clock = new ManualClock();
  let counting = false;
  let messages = 0;
  let content = 0;
  let wire = 0;
  const before = heapBytes();
  const network = new MembershipNetwork(clock, {
    random,
    keepEffects: false,
    delayMs: (a, b) => (a.region !== b.region ? 15 : a.zone !== b.zone ? 2 : 1),
    onSend(_, message) {
      if (!counting) return;
      const bytes = encodeLinkMessage(message);
      decodeLinkMessage(bytes);
      messages++;
      content += bytes.length;
      wire += bytes.length + perMessage;
      if (needsOwnTcpAck(message)) wire += overhead.tcpIp;
    },
  });
  for (let i = 0; i < members; i++) {
    const zone = `zone-${i % zones}`;
    const region = i % zones < zones / 2 ? 'region-a' : 'region-b';
    const id = `host-${String(i).padStart(3, '0')}`;
    const address = `10.0.${i % zones}.${Math.floor(i / zones)}:7400`;
    network.start({id, zone, region, address}, ['10.0.0.0:7400']);
  }
  network.run(warmUpMs);
  const heap = (heapBytes() - before) / members;

  let offset = 1_000_000;
  const change = () => {
    offset++;
    for (const host of network.hosts.values()) {
      host.core.publish({configOffset: offset});
      const offsets = [{stream: 'config', next: offset}];
      network.perform(host, host.core.announce(offsets, clock.nowMs()));
    }
  };
  counting = true;
  const startCpu = cpuSeconds();
  for (let ms = 0; ms < measuredMs;) {
    change();
    const stepMs = Math.min(Math.round(changeIntervalMs), measuredMs - ms);
    network.run(stepMs);
    ms += stepMs;
  }
  const cpu = cpuSeconds() - startCpu;
  counting = false;

  change();
  const changedAtMs = clock.nowMs();
  const allKnow = () =>
    [...network.hosts.values()].every(({core, identity}) => {
      return core.zoneView(identity.zone).configOffset === offset;
    });
  const waitedMs = () => clock.nowMs() - changedAtMs;
  while (!allKnow() && waitedMs() < maxStalenessMs) network.run(100);
  const offsetStalenessMs = waitedMs();

  const hostSeconds = (members * measuredMs) / 1000;
  return {
    members,
    // Each byte is sent by one host and received by another.
    bytesPerSecond: (2 * wire) / hostSeconds,
    messagesPerSecond: (2 * messages) / hostSeconds,
    meanContentBytes: content / messages,
    logicCore: cpu / hostSeconds,
    heapBytes: heap,
    maxConfirmMs: measureCrashes(network, clock, random),
    offsetStalenessMs,
  };
}

/** Crashes hosts one by one; returns the longest time until their whole zone knew. */
function measureCrashes(
  network: MembershipNetwork,
  clock: ManualClock,
  random: () => number,
): number {
  let longest = 0;
  for (let i = 0; i < crashes; i++) {
    const running = [...network.hosts.values()].filter(
      host => host.state === 'running',
    );
    const victim = running[Math.floor(random() * running.length)].identity;
    const observers = running.filter(
      ({identity}) => identity.zone === victim.zone && identity !== victim,
    );
    if (observers.length === 0) continue;
    network.run(Math.floor(random() * 1000));
    network.crash(victim.id);
    const crashedAtMs = clock.nowMs();
    const isKnown = () =>
      observers.every(({core}) =>
        core.members().some(m => m.id === victim.id && m.state === 'dead'),
      );
    while (!isKnown()) network.run(5);
    longest = Math.max(longest, clock.nowMs() - crashedAtMs);
  }
  return longest;
}

/** Slope of a least-squares line, for each further member. */
function slope(rows: readonly Row[], value: (row: Row) => number): number {
  const meanX = rows.reduce((sum, r) => sum + r.members, 0) / rows.length;
  const meanY = rows.reduce((sum, r) => sum + value(r), 0) / rows.length;
  let above = 0;
  let below = 0;
  for (const row of rows) {
    above += (row.members - meanX) * (value(row) - meanY);
    below += (row.members - meanX) ** 2;
  }
  return above / below;
}

/** Measures the cost of the membership for each host at several sizes of the fleet. */
export async function run(): Promise<void> {
  const links = await measureLinks();
  const rows = sizes.map(measure);
  const print = (line: string) => process.stdout.write(`${line}\n`);
  print(`seed ${seed}, ${zones} zones, ${measuredMs / 1000} s measured`);
  print(
    `a message over gRPC and TLS on loopback costs ${links.microseconds.toFixed(0)} us of CPU at each end, ` +
      `a link ${(links.bytes / 1000).toFixed(0)} KB at both ends together`,
  );
  print(
    '| members | KB/s | messages/s | content bytes | core, logic | core, with gRPC | heap KB | confirm ms | own zone offset ms |',
  );
  print('|---|---|---|---|---|---|---|---|---|');
  const core = (row: Row) =>
    row.logicCore + (row.messagesPerSecond * links.microseconds) / 1_000_000;
  const staleness = ({offsetStalenessMs: ms}: Row) =>
    ms < maxStalenessMs ? `${ms}` : `over ${maxStalenessMs}`;
  const percent = (share: number) => `${(share * 100).toFixed(3)} %`;
  for (const row of rows) {
    print(
      `| ${row.members} | ${(row.bytesPerSecond / 1000).toFixed(2)} | ${row.messagesPerSecond.toFixed(1)} | ` +
        `${row.meanContentBytes.toFixed(0)} | ${percent(row.logicCore)} | ${percent(core(row))} | ` +
        `${(row.heapBytes / 1000).toFixed(0)} | ${row.maxConfirmMs || 'none measured'} | ${staleness(row)} |`,
    );
  }
  const per100 = (value: (row: Row) => number) => 100 * slope(rows, value);
  print(
    `slopes for 100 more members: ${(per100(r => r.bytesPerSecond) / 1000).toFixed(2)} KB/s of ${budget.bytesPerSecond / 1000}, ` +
      `${percent(per100(core))} of a core of ${percent(budget.core)}, ` +
      `${(per100(r => r.heapBytes) / 1_000_000).toFixed(3)} MB of ${budget.bytes / 1_000_000}`,
  );
}
