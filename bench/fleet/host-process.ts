import {spawn, type ChildProcess} from 'node:child_process';
import {closeSync, openSync, readFileSync} from 'node:fs';
import {writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';

const program = fileURLToPath(new URL('../../src/main.js', import.meta.url));
/** Clock ticks a second in `/proc/PID/stat`; Linux has 100 on all common machines. */
const ticksPerSecond = 100;
/** Counters of bytes between hosts, whichever a host exposes. */
const controlBytes =
  /^guavaseam_(?:peer|link|control|permit)\w*_bytes_total(?:\{[^}]*\})? ([0-9.e+]+)$/;

/** Where a host is and how it is set up. */
export interface HostPlan {
  readonly id: string;
  readonly zone: string;
  readonly callersPort: number;
  readonly peersPort: number;
  /** Whole settings, as written to its file. */
  readonly settings: Readonly<Record<string, unknown>>;
}

/** One entry host as a process of its own. */
export class HostProcess {
  /** Exit code of the last process that ended by itself. */
  exitCode: number | null = null;
  private child: ChildProcess | undefined;
  private ended: Promise<void> = Promise.resolve();

  /**
   * @param plan - Where the host is and how it is set up.
   * @param folder - Folder for its settings and its log.
   */
  constructor(
    readonly plan: HostPlan,
    private readonly folder: string,
  ) {}

  /** Base URL for callers. */
  get origin(): string {
    return `http://127.0.0.1:${this.plan.callersPort}`;
  }

  /** Starts the process; it replaces one that ended. */
  async start(): Promise<void> {
    const {id, settings} = this.plan;
    const file = join(this.folder, `${id}.json`);
    await writeFile(file, JSON.stringify(settings));
    const log = openSync(join(this.folder, `${id}.log`), 'a');
    const child = spawn(
      process.execPath,
      [program, 'entry', '--settings', file],
      {stdio: ['ignore', log, log]},
    );
    closeSync(log);
    this.child = child;
    this.ended = new Promise(resolve =>
      child.once('exit', code => {
        this.exitCode = code;
        if (this.child === child) this.child = undefined;
        resolve();
      }),
    );
  }

  /** Sends a signal to the process. */
  signal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  /** Waits for the end of the process. */
  async untilEnded(): Promise<void> {
    await this.ended;
  }

  /** Tells whether the host is ready, as a load balancer asks it. */
  async isReady(timeoutMs: number): Promise<boolean> {
    try {
      const res = await request(`${this.origin}/readyz`, {
        signal: AbortSignal.timeout(timeoutMs),
        reset: true,
      });
      await res.body.dump();
      return res.statusCode === 200;
    } catch {
      return false;
    }
  }

  /** Processor time used by the process, in seconds; `undefined` if it does not run. */
  processorSeconds(): number | undefined {
    if (this.child?.pid === undefined) return undefined;
    const stat = readFileSync(`/proc/${this.child.pid}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
  }

  /** Bytes exchanged with other hosts; `undefined` if the host has no such counter. */
  async controlBytes(): Promise<number | undefined> {
    try {
      const res = await request(`${this.origin}/metrics`, {reset: true});
      return sumControlBytes(await res.body.text());
    } catch {
      return undefined;
    }
  }

  /** Number of target groups that the host owns. */
  async groupsOwned(): Promise<number> {
    const res = await request(`${this.origin}/metrics`, {reset: true});
    const match = /^guavaseam_groups_owned (\d+)$/m.exec(await res.body.text());
    return Number(match?.[1] ?? 0);
  }

  /** Last lines of the host's log, for a report of a failure. */
  logTail(lines: number): string {
    const text = readFileSync(join(this.folder, `${this.plan.id}.log`), 'utf8');
    return text.trimEnd().split('\n').slice(-lines).join('\n');
  }
}

/** Sums the counters of bytes between hosts in a metrics text; `undefined` without one. */
export function sumControlBytes(text: string): number | undefined {
  let sum: number | undefined;
  for (const line of text.split('\n')) {
    const match = controlBytes.exec(line);
    if (match) sum = (sum ?? 0) + Number(match[1]);
  }
  return sum;
}
