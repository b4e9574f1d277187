// Starts gateway hosts with the `run` line of the deploy file, beside a stand-in of the platform's store.
import {performance} from 'node:perf_hooks';
import console from 'node:console';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
  createWriteStream,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import process from 'node:process';
import {setTimeout} from 'node:timers';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Store} from './store.mjs';

const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** Exit codes of a case. */
export const held = 0;
export const broken = 1;
export const couldNotRun = 2;

/** Time after which a case is given up, in milliseconds. */
const maxPlayMs = 110_000;

/** Whether the case runs with its disruption. */
export const trouble = process.env.TROUBLE !== '0';

/** Writes what was sent, answered and run to `record.txt` of the case's folder. */
export class Record {
  constructor(folder) {
    this.stream = createWriteStream(join(folder, 'record.txt'));
    this.startMs = performance.now();
  }

  /** Adds a line with the time since the start, in seconds. */
  add(kind, fields = {}) {
    if (this.stream.writableEnded) return;
    const atS = ((performance.now() - this.startMs) / 1000).toFixed(3);
    const text = Object.entries(fields).map(
      ([name, value]) => `${name}=${value}`,
    );
    this.stream.write(`${atS.padStart(8)} s  ${kind}  ${text.join(' ')}\n`);
  }

  async close() {
    this.stream.end();
    await once(this.stream, 'finish');
  }
}

async function freePorts(ip, count) {
  const servers = Array.from({length: count}, () =>
    createServer().listen(0, ip),
  );
  await Promise.all(servers.map(server => once(server, 'listening')));
  const ports = servers.map(server => server.address().port);
  for (const server of servers) server.close();
  return ports;
}

const bounds = {
  seedLagS: 3,
  addrReuseS: 2,
  contactMs: 3000,
  ackMs: 4000,
  syncTimeS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  outerMs: 5000,
  strictRevoke: false,
  revokeMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retryBudgetSlack: 58,
  quotaWindowS: 8,
  quotaOver: 0.1,
  quotaSlack: 140000,
  exposeShare: 0.1,
  exposeSlack: 50,
  rollbackMs: 5000,
  coldOver: 1.5,
  coldSlack: 5,
  evacMs: 5000,
  recoverS: 12,
  passMs: 120,
  againS: 10,
};

/** The platform's store, gateway hosts and the files that they need. */
export class Fleet {
  constructor() {
    this.folder = mkdtempSync(join(tmpdir(), 'guavaseam-review-'));
    this.store = new Store();
    this.hosts = [];
  }

  /** Starts the store and as many hosts, on 127.0.0.1, 127.0.0.2 and so on. */
  async start(count, configuration) {
    this.storeAddress = await this.store.listen('127.0.0.1');
    this.store.put('keyed.op', 'config', configuration);
    const ips = Array.from({length: count}, (_, i) => `127.0.0.${i + 1}`);
    const [front, ready, control, gossip, metrics] = await freePorts(
      '127.0.0.1',
      5,
    );
    const zones = ['pokhara', 'beni', 'jomsom'];
    for (const [i, ip] of ips.entries()) {
      const zone = zones[i % zones.length];
      const name = `front-${zone}-${i + 1}`;
      const settings = {
        nodeName: name,
        role: 'gateway',
        machineClass: 'front',
        serves: ['front', 'control'],
        ip,
        zone,
        region: 'gandaki',
        zones: {pokhara: 'gandaki', beni: 'gandaki', jomsom: 'gandaki'},
        listen: {
          front: `${ip}:${front}`,
          ready: `${ip}:${ready}`,
          control: `${ip}:${control}`,
        },
        portRange: [gossip, gossip + 15],
        seedNodes: ips.slice(0, 3).map(seed => `${seed}:${control}`),
        bootstrap: true,
        faultCounted: false,
        limits: {
          cpuShare: 0.675,
          cpuCores: 1,
          memoryMb: 350,
          maxFds: 4100,
          linkMbps: 1000,
          diskMb: 0,
        },
        dataDir: null,
        discovery: 'platform',
        entry: 'vip',
        heartbeatMs: 1200,
        contracts: [
          'base',
          'drain',
          'config',
          'cost',
          'retry',
          'recover',
          'engine',
          'stream',
          'tenants',
          'quota',
          'rollout',
          'places',
          'platform',
        ],
        faultTolerance: {machines: 1, zones: 1, regions: 0},
        bounds,
        platform: {
          address: this.storeAddress,
          form: 'log',
          writesPerS: 400,
          readsPerS: 2000,
          parts: 12,
          appendMs: 2,
          partMbPerS: 20,
          readMbPerS: 80,
          recordBytes: 262144,
          callBytes: 2097152,
          keep_s: 300,
          partMb: 200,
          ttlMinMs: 1000,
        },
      };
      this.hosts.push(this.spawn(settings, metrics));
    }
    await Promise.all(this.hosts.map(host => this.untilReady(host)));
  }

  spawn(settings, metrics) {
    const {nodeName: name, listen} = settings;
    const file = join(this.folder, `${name}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const deploy = readFileSync(join(root, 'deploy', 'system.toml'), 'utf8');
    const [command, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
    const log = openSync(join(this.folder, `${name}.log`), 'w');
    const child = spawn(command === 'node' ? process.execPath : command, args, {
      cwd: root,
      env: {
        PATH: process.env.PATH,
        HOME: this.folder,
        GUAVASEAM_NODE_FILE: file,
        GUAVASEAM_METRICS_PORT: String(metrics),
      },
      stdio: ['ignore', log, log],
    });
    const host = {
      name,
      settings,
      metrics,
      front: listen.front,
      ready: listen.ready,
      child,
      log: join(this.folder, `${name}.log`),
      ended: undefined,
    };
    child.on('exit', (code, signal) => {
      host.ended = {code, signal, atMs: performance.now()};
      const text = readFileSync(host.log, 'utf8');
      const errors = /^(FATAL ERROR|\w*Error\b).*$/m.exec(text);
      host.ended.error = errors?.[0] ?? 'none written';
      host.onEnd?.(host.ended);
    });
    return host;
  }

  /** Starts a host again after it has ended, as the platform does. */
  restart(host) {
    const next = this.spawn(host.settings, host.metrics);
    this.hosts[this.hosts.indexOf(host)] = next;
    return next;
  }

  async untilReady(host) {
    for (let i = 0; i < 100; i++) {
      if (host.ended) throw new Error(`${host.name} has ended`);
      if ((await isReady(host.ready)) === 200) return;
      await wait(100);
    }
    throw new Error(`${host.name} is not ready`);
  }

  /** Ends all processes and removes the temporary files. */
  async stop() {
    for (const {child, ended} of this.hosts) if (!ended) child.kill('SIGKILL');
    for (const {child, ended} of this.hosts)
      if (!ended) await once(child, 'exit').catch(() => {});
    this.store.close();
    rmSync(this.folder, {recursive: true, force: true});
  }
}

function isReady(address) {
  return new Promise(resolve => {
    const req = get(`http://${address}/api/readiness`, {agent: false}, res => {
      res.resume();
      resolve(res.statusCode);
    });
    req.on('error', () => resolve(0));
  });
}

/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function play(body) {
  const fleet = new Fleet();
  let code = couldNotRun;
  const giveUp = why => {
    console.error(why);
    void fleet.stop().then(() => process.exit(couldNotRun));
  };
  process.once('SIGINT', () => giveUp('interrupted'));
  process.once('SIGTERM', () => giveUp('ended'));
  const timer = setTimeout(() => giveUp('took too long'), maxPlayMs);
  timer.unref();
  try {
    code = await body(fleet);
  } catch (err) {
    console.error(err);
  } finally {
    await fleet.stop();
  }
  process.exit(code);
}
