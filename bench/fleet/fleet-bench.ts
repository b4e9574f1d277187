import {rmSync} from 'node:fs';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {parseArgs} from 'node:util';
import {request} from 'undici';
import {readExample, type Example} from '../../src/demo/example.js';
import {planLoad} from '../../src/demo/load-plan.js';
import {seededRandom} from '../../stand-ins/seeded-random.js';
import {Balancer} from './balancer.js';
import {FleetCallers} from './fleet-callers.js';
import {renderFleet, type HostUse, type PhaseTimes} from './fleet-report.js';
import {tallyFleet} from './fleet-tally.js';
import {planHosts} from './host-plans.js';
import {HostProcess} from './host-process.js';
import {StandIns} from './stand-ins.js';

const hostsPerZone = 3;
const startTimeoutMs = 30_000;
/** Time before and after the fault of each phase, in milliseconds. */
const edgeMs = 4000;
/** Zone that is taken out; its hosts are not the ones that are killed or paused. */
const outZone = 'beni';

/** A phase: a fault, and what ends it. */
interface Phase {
  readonly name: string;
  readonly duringMs: number;
  begin(): Promise<void> | void;
  end(): Promise<void> | void;
}

/** Runs a fleet of processes under faults, and counts by digest. */
export async function run(): Promise<void> {
  const {values} = parseArgs({
    args: process.argv.slice(3),
    options: {
      short: {type: 'boolean', default: false},
      seed: {type: 'string', default: '1'},
      rate: {type: 'string', default: '40'},
    },
  });
  const folder = await mkdtemp(join(tmpdir(), 'guavaseam-fleet-'));
  const example = await readExample('himalchuli');
  const standIns = await StandIns.start();
  const hosts: HostProcess[] = [];
  const interrupt = () => {
    for (const host of hosts) host.signal('SIGKILL');
    standIns.stop();
    rmSync(folder, {recursive: true, force: true});
    process.exit(130);
  };
  process.once('SIGINT', interrupt).once('SIGTERM', interrupt);
  try {
    const plans = await planHosts(example, hostsPerZone, standIns.platform);
    for (const plan of plans) {
      const host = new HostProcess(plan, folder);
      hosts.push(host);
      list(standIns, host);
      await host.start();
    }
    const bench = new FleetBench(example, standIns, hosts);
    const failed = await bench.measure(
      Number(values.seed),
      Number(values.rate),
      values.short ? 10_000 : 60_000,
    );
    if (failed) process.exitCode = 1;
  } finally {
    for (const host of hosts) host.signal('SIGKILL');
    await Promise.all(hosts.map(host => host.untilEnded()));
    standIns.stop();
    await rm(folder, {recursive: true, force: true});
  }
}

function list(standIns: StandIns, {plan}: HostProcess): void {
  const {id, zone, peersPort} = plan;
  const address = `127.0.0.1:${peersPort}`;
  standIns.order({
    kind: 'list-host',
    host: {id, zone, address, state: 'live'},
  });
}

class FleetBench {
  private readonly balancer: Balancer;
  private readonly times: PhaseTimes[] = [];
  private victims: HostProcess[] = [];
  private outAcceptedMs = 0;
  private inAcceptedMs = 0;
  private drainExit: number | null = null;

  constructor(
    private readonly example: Example,
    private readonly standIns: StandIns,
    private readonly hosts: readonly HostProcess[],
  ) {
    this.balancer = new Balancer(hosts);
  }

  async measure(
    seed: number,
    requestsPerSecond: number,
    logDownMs: number,
  ): Promise<boolean> {
    await this.balancer.start(startTimeoutMs);
    await this.chooseVictims();
    const phases = this.phases(logDownMs);
    const totalMs = phases.reduce((sum, p) => sum + p.duringMs + 2 * edgeMs, 0);
    const plan = planLoad(
      this.example,
      {
        seconds: totalMs / 1000,
        requestsPerSecond,
        resendShare: 0.2,
        resendTo: 'other',
      },
      seededRandom(seed),
    );
    const callers = new FleetCallers(this.balancer);
    const startMs = Date.now();
    const startUse = this.hosts.map(host => host.processorSeconds());
    const startBytes = await this.bytes();
    const load = callers.run(plan);
    for (const phase of phases) await this.runPhase(phase);
    const seconds = (Date.now() - startMs) / 1000;
    const endBytes = await this.bytes();
    const use = this.hosts.map<HostUse>((host, i) => ({
      host: host.plan.id,
      seconds,
      processorSeconds: difference(host.processorSeconds(), startUse[i]),
      controlBytes: difference(endBytes[i], startBytes[i]),
    }));
    await load;
    this.balancer.stop();
    const executions = await this.standIns.executions();
    const {lines, failed} = renderFleet({
      seed,
      requestsPerSecond,
      tally: tallyFleet(callers.done, executions),
      executions,
      phases: this.times,
      use,
      outZone,
      outAcceptedMs: this.outAcceptedMs,
      inAcceptedMs: this.inAcceptedMs,
      drained: this.drainedHost.plan.id,
      drainExit: this.drainExit,
    });
    process.stdout.write(`${lines.join('\n')}\n`);
    return failed;
  }

  private get killedHost(): HostProcess {
    return this.victims[0];
  }

  private get pausedHost(): HostProcess {
    return this.victims[1];
  }

  private get drainedHost(): HostProcess {
    return this.victims[2];
  }

  /** Prefers hosts that own most groups; all are outside the zone that is taken out. */
  private async chooseVictims(): Promise<void> {
    const others = this.hosts.filter(({plan}) => plan.zone !== outZone);
    const owned = await Promise.all(others.map(host => host.groupsOwned()));
    const ranked = others
      .map((host, i) => ({host, groups: owned[i]}))
      .sort((a, b) => b.groups - a.groups);
    this.victims = ranked.map(({host}) => host);
    const text = ranked.map(({host, groups}) => `${host.plan.id} ${groups}`);
    process.stdout.write(
      `groups owned: ${text.join(', ')}; killed, paused and drained are the first three\n`,
    );
  }

  private phases(logDownMs: number): Phase[] {
    const {standIns} = this;
    return [
      {
        name: 'host killed',
        duringMs: 6000,
        begin: async () => {
          const host = this.killedHost;
          host.signal('SIGKILL');
          await host.untilEnded();
          standIns.order({kind: 'unlist-host', id: host.plan.id});
        },
        end: () => this.restart(this.killedHost),
      },
      {
        name: 'host paused',
        duringMs: 5000,
        begin: () => this.pausedHost.signal('SIGSTOP'),
        end: () => this.pausedHost.signal('SIGCONT'),
      },
      {
        name: 'log down',
        duringMs: logDownMs,
        begin: () => standIns.order({kind: 'log', down: true}),
        end: () => standIns.order({kind: 'log', down: false}),
      },
      {
        name: 'host drained',
        duringMs: 6000,
        begin: () => {
          standIns.order({kind: 'unlist-host', id: this.drainedHost.plan.id});
          this.drainedHost.signal('SIGTERM');
        },
        end: async () => {
          await this.drainedHost.untilEnded();
          this.drainExit = this.drainedHost.exitCode;
          await this.restart(this.drainedHost);
        },
      },
      {
        name: 'zone out',
        duringMs: 8000,
        begin: async () => {
          this.outAcceptedMs = await this.setZone('out');
        },
        end: async () => {
          this.inAcceptedMs = await this.setZone('in');
        },
      },
    ];
  }

  private async runPhase(phase: Phase): Promise<void> {
    const beforeMs = Date.now();
    await sleep(edgeMs);
    const faultMs = Date.now();
    await phase.begin();
    await sleep(faultMs + phase.duringMs - Date.now());
    const endMs = Date.now();
    await phase.end();
    await sleep(edgeMs);
    const {name} = phase;
    this.times.push({name, beforeMs, faultMs, endMs, afterMs: Date.now()});
    process.stdout.write(`${name}: done\n`);
  }

  private async restart(host: HostProcess): Promise<void> {
    list(this.standIns, host);
    await host.start();
  }

  /** Changes a zone through the resource API; returns the time of acceptance. */
  private async setZone(state: 'in' | 'out'): Promise<number> {
    const {origin} = this.victims[3];
    const res = await request(`${origin}/api/v1/zone/${outZone}`, {
      method: 'PATCH',
      headers: {
        authorization: `Bearer ${this.example.operatorToken}`,
        'content-type': 'application/merge-patch+json',
      },
      body: JSON.stringify({spec: {state}}),
    });
    const text = await res.body.text();
    const {change} = JSON.parse(text) as {change?: string};
    if (change !== 'updated') throw new Error(`zone not changed: ${text}`);
    return Date.now();
  }

  private bytes(): Promise<(number | undefined)[]> {
    return Promise.all(this.hosts.map(host => host.controlBytes()));
  }
}

/** A host that was replaced counts from its start. */
function difference(
  end: number | undefined,
  start: number | undefined,
): number | undefined {
  if (end === undefined) return undefined;
  return start !== undefined && end >= start ? end - start : end;
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, Math.max(0, ms)));
}
