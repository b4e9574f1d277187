import assert from 'node:assert/strict';
import {spawn, spawnSync, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {
  closeSync,
  existsSync,
  openSync,
  readFileSync,
  readdirSync,
  readlinkSync,
  statSync,
} from 'node:fs';
import {Agent, get} from 'node:http';
import {join} from 'node:path';

/** Number of descriptors of `maxFds` that are kept for files; sockets and pipes share the others. */
const fileDescriptors = 200;
const bundle = 'target/guavaseam.cjs';
const bundleSources = ['deploy', 'platform', 'scripts', 'src'];

/** Writes the bundle if it is missing or older than its sources. */
export function buildBundle(): void {
  const newest = Math.max(...bundleSources.map(newestChangeMs));
  if (existsSync(bundle) && statSync(bundle).mtimeMs > newest) return;
  const {status, stderr} = spawnSync(process.execPath, ['scripts/bundle.js']);
  assert.equal(status, 0, String(stderr));
}

function newestChangeMs(path: string): number {
  const {mtimeMs} = statSync(path);
  if (!statSync(path).isDirectory()) return mtimeMs;
  const inner = readdirSync(path).map(name => newestChangeMs(join(path, name)));
  return Math.max(mtimeMs, ...inner);
}

/** Bounds that a host must stay under. */
export interface HostBounds {
  /** Resident memory, in MB. */
  readonly memoryMb: number;
  /** Open descriptors. */
  readonly maxFds: number;
}

/** A host in a process of its own, and the most that it used. */
export class HostProcess {
  /** How the process ended; undefined while it runs. */
  ended: string | undefined;
  private peakMb = 0;
  private peakFds = 0;
  private peakSockets = 0;
  private readonly child: ChildProcess;
  private readonly agent = new Agent({keepAlive: true, maxSockets: 1});

  /**
   * Starts a host.
   *
   * @param args - Arguments of Node.js.
   * @param env - Its environment.
   * @param readyUrl - Address that answers 200 once the host is ready.
   * @param logFile - Where its output goes.
   */
  constructor(
    args: readonly string[],
    env: NodeJS.ProcessEnv,
    private readonly readyUrl: string,
    private readonly logFile: string,
  ) {
    const output = openSync(logFile, 'w');
    this.child = spawn(process.execPath, args, {
      env,
      stdio: ['ignore', output, output],
    });
    closeSync(output);
    this.child.once('exit', (code, signal) => {
      this.ended = `ended with ${signal ?? code}: ${this.firstError()}`;
    });
  }

  /** Waits until the host is ready. */
  async untilReady(): Promise<void> {
    while ((await this.probe()) !== 200) this.assertAlive();
  }

  /** Ends the process. */
  async stop(): Promise<void> {
    this.agent.destroy();
    if (this.child.exitCode !== null || this.child.signalCode !== null) return;
    this.child.kill('SIGKILL');
    await once(this.child, 'exit');
  }

  assertAlive(): void {
    assert.equal(this.ended, undefined);
  }

  /** Sends a readiness probe on a kept connection; resolves to the status, or to 0 without an answer. */
  probe(): Promise<number> {
    return new Promise(resolve => {
      const req = get(this.readyUrl, {agent: this.agent}, res => {
        res.resume();
        res.once('close', () => resolve(res.statusCode ?? 0));
      });
      req.once('error', () => setImmediate(resolve, 0));
    });
  }

  /** Reads the memory and the descriptors in use, and returns the number of sockets. */
  measure(): number {
    const folder = `/proc/${this.child.pid}`;
    let sockets = 0;
    try {
      const status = readFileSync(`${folder}/status`, 'utf8');
      const kilobytes = /^VmHWM:\s+(\d+) kB$/m.exec(status);
      if (kilobytes) this.peakMb = Number(kilobytes[1]) / 1024;
      const links = readdirSync(`${folder}/fd`).map(fd =>
        readLink(`${folder}/fd/${fd}`),
      );
      sockets = links.filter(link => /^(socket|pipe):/.test(link)).length;
      this.peakFds = Math.max(this.peakFds, links.length);
      this.peakSockets = Math.max(this.peakSockets, sockets);
    } catch {
      // The process has ended; `ended` says how.
    }
    return sockets;
  }

  /** Lists the bounds that were broken. */
  brokenBounds({memoryMb, maxFds}: HostBounds): string[] {
    this.measure();
    const broken: string[] = [];
    if (this.ended !== undefined) broken.push(this.ended);
    if (this.peakMb >= memoryMb) broken.push(`memory: ${this.usage}`);
    if (this.peakFds >= maxFds || this.peakSockets > maxFds - fileDescriptors) {
      broken.push(`descriptors: ${this.usage}`);
    }
    return broken;
  }

  /** The most that was measured. */
  get usage(): string {
    return `${Math.round(this.peakMb)} MB resident, ${this.peakFds} descriptors, of which ${this.peakSockets} sockets and pipes`;
  }

  private firstError(): string {
    const log = readFileSync(this.logFile, 'utf8');
    return /^(FATAL ERROR|\w*Error\b).*$/m.exec(log)?.[0] ?? 'no error written';
  }
}

function readLink(path: string): string {
  try {
    return readlinkSync(path);
  } catch {
    return 'closed';
  }
}
