import {once} from 'node:events';
import {connect, createServer, type AddressInfo} from 'node:net';
import {Client, Server, ServerCredentials, credentials} from '@grpc/grpc-js';
import {GrpcPermitTransport} from '../src/connection/peer/permit-grpc.js';
import {SystemClock} from '../src/process/clock.js';
import {PermitManager} from '../src/process/groups/permit-manager.js';
import {GroupScheduler} from '../src/request/scheduler/group-scheduler.js';
import {FakeMembers, PermitFleet} from '../test/process/groups/permit-fleet.js';

const targetCounts = [6, 12, 24];
const slotsOfTarget = 16;
const concurrency = 32;
const warmUpPermits = 500;
const measuredPermits = 3000;
const group = 'a/s/0';
const prefixHashes = 8;
/** Bytes of a TCP segment outside its payload: IPv4 20, TCP 20 and timestamps 12. */
const segmentBytes = 52;

/** Bytes that passed a relay, and how many reads they came in. */
interface Passed {
  bytes: number;
  reads: number;
}

/** Relays TCP connections to a port and counts what passes. */
async function startCounter(port: number, passed: Passed): Promise<number> {
  const server = createServer(near => {
    const far = connect(port, '127.0.0.1');
    for (const [from, to] of [
      [near, far],
      [far, near],
    ]) {
      from.setNoDelay(true);
      from.on('data', chunk => {
        passed.bytes += chunk.length;
        passed.reads += 1;
        to.write(chunk);
      });
      from.on('error', () => to.destroy());
      from.on('close', () => to.destroy());
    }
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  server.unref();
  return (server.address() as AddressInfo).port;
}

/** Two hosts of one zone that share targets over gRPC. */
async function startHosts(targets: number, passed: Passed | undefined) {
  const fleet = new PermitFleet(1);
  fleet.declare('a', targets, slotsOfTarget, slotsOfTarget);
  const ports = new Map<string, number>();
  const nodes: PermitManager[] = [];
  const closers: (() => void)[] = [];
  for (const id of ['h1', 'h2']) {
    const members = new FakeMembers(fleet.member(id, 'a'));
    members.set(fleet.member(id === 'h1' ? 'h2' : 'h1', 'a'));
    const server = new Server();
    const clients = new Map<string, Client>();
    const transport = new GrpcPermitTransport({
      fleet: 'f',
      host: id,
      client: host => {
        let client = clients.get(host);
        if (!client) {
          const address = `127.0.0.1:${ports.get(host)}`;
          client = new Client(address, credentials.createInsecure());
          clients.set(host, client);
          closers.push(() => clients.get(host)?.close());
        }
        return client;
      },
      addService: (definition, implementation) =>
        server.addService(definition, implementation),
      certifies: () => true,
    });
    nodes.push(
      new PermitManager({
        clock: new SystemClock(),
        members,
        transport,
        config: () => fleet.config,
        createCore: name =>
          new GroupScheduler({owner: `${id}-${name}`, recovering: true}),
        firstSerial: 1000,
      }),
    );
    const port = await new Promise<number>((resolve, reject) =>
      server.bindAsync(
        '127.0.0.1:0',
        ServerCredentials.createInsecure(),
        (err, bound) => (err ? reject(err) : resolve(bound)),
      ),
    );
    ports.set(id, passed ? await startCounter(port, passed) : port);
    closers.push(() => server.forceShutdown());
  }
  for (const node of nodes) node.start();
  return {
    fleet,
    nodes,
    stop() {
      for (const node of nodes) node.stop();
      for (const close of closers) close();
    },
  };
}

async function takePermits(
  node: PermitManager,
  fleet: PermitFleet,
  count: number,
): Promise<void> {
  let left = count;
  let sequence = 0;
  const worker = async () => {
    while (left-- > 0) {
      const prefixes = Array.from({length: prefixHashes}, (_, i) =>
        (BigInt(++sequence) * 16n + BigInt(i)).toString(16).padStart(16, '0'),
      );
      const req = {...fleet.request(), prefixes};
      const {signal} = new AbortController();
      const grant = await node.acquire(group, req, signal);
      grant.progress(1, 50);
      grant.release({
        result: 'ok',
        firstTokenMs: 50,
        totalMs: 900,
        tokens: 100,
      });
    }
  };
  await Promise.all(Array.from({length: concurrency}, worker));
}

/** Finds the node that does not own the group, so that each permit crosses the network. */
function follower(nodes: readonly PermitManager[]): PermitManager {
  return nodes.find(node => !node.owned.has(group)) ?? nodes[0];
}

async function measure(targets: number, passed?: Passed) {
  const hosts = await startHosts(targets, passed);
  await takePermits(hosts.nodes[0], hosts.fleet, 1);
  const node = follower(hosts.nodes);
  await takePermits(node, hosts.fleet, warmUpPermits);
  if (passed) Object.assign(passed, {bytes: 0, reads: 0});
  const before = process.cpuUsage();
  const startMs = performance.now();
  await takePermits(node, hosts.fleet, measuredPermits);
  const elapsedMs = performance.now() - startMs;
  const {user, system} = process.cpuUsage(before);
  hosts.stop();
  return {
    cpuUs: (user + system) / measuredPermits,
    perSecond: measuredPermits / (elapsedMs / 1000),
  };
}

/** Prints the processor time and the bytes of a permit between two hosts, at three group sizes. */
export async function run(): Promise<void> {
  process.stdout.write(
    `${measuredPermits} permits, ${concurrency} at once, ${prefixHashes} prefix hashes, one progress report; plain gRPC on loopback; processor time of both hosts together\n`,
  );
  for (const targets of targetCounts) {
    const {cpuUs, perSecond} = await measure(targets);
    process.stdout.write(
      `${targets} targets: ${cpuUs.toFixed(0)} µs a permit, ${perSecond.toFixed(0)} permits/s\n`,
    );
  }
  const passed: Passed = {bytes: 0, reads: 0};
  await measure(targetCounts[0], passed);
  const payload = passed.bytes / measuredPermits;
  const segments = passed.reads / measuredPermits;
  process.stdout.write(
    `bytes of a permit in both directions: ${payload.toFixed(0)} of HTTP/2, ${segments.toFixed(1)} reads, ${(payload + segments * segmentBytes).toFixed(0)} with TCP/IP headers at this load\n`,
  );
}
