import {Readable} from 'node:stream';
import {
  TargetClient,
  type TargetResponse,
  type TargetRequest,
} from '../src/connection/target/target-client.js';
import {TargetStatusClient} from '../src/connection/target/target-status-client.js';
import {FailureError} from '../src/process/errors/catalogue.js';
import type {LoadReport} from '../src/request/scheduler/types.js';
import type {ManualClock} from '../stand-ins/manual-clock.js';

/** Time after which a host gives up a connection over which nothing passes, in milliseconds. */
const silentMs = 2000;

/** Time after which an owner has read the load report of a restarted target, in milliseconds. */
const reportedMs = 1500;

/** One execution of a request at a target. */
export interface Run {
  /** Caller's name of the operation; the same for all sends with one key. */
  readonly operation: string;
  /** Name of one send of the caller. */
  readonly send: string;
  readonly host: string;
  readonly target: string;
  readonly startMs: number;
  readonly idempotent: boolean;
  readonly tier: number;
  ended: boolean;
}

/** A host process that calls targets; `gate` holds its actions while it is paused. */
export interface TargetCaller {
  readonly id: string;
  readonly gate: (fn: () => void) => void;
}

/** State of one target. */
export interface SimTarget {
  readonly name: string;
  readonly zone: string;
  up: boolean;
  /** Whether it offers load reports; plain services do not, so nothing tells of their restart. */
  readonly reports: boolean;
  /** Number of starts, as load reports state it. */
  epoch: number;
  /** Answers that hosts received since the target was last cold; the evidence of the owners. */
  completions: number;
  /** Answers to lose after the execution took place. */
  loseAnswers: number;
}

/** What the targets ask of the fleet. */
export interface TargetsParts {
  readonly clock: ManualClock;
  readonly random: () => number;
  readonly isCut: (host: string, zone: string) => boolean;
  readonly onStart: (run: Run) => void;
}

/** Targets that execute requests in virtual time and record every execution. */
export class SimTargets {
  readonly targets = new Map<string, SimTarget>();
  readonly runs: Run[] = [];
  readonly live = new Set<Run>();
  /** Least and greatest time of one execution, in milliseconds. */
  workMs: readonly [number, number] = [20, 400];

  constructor(readonly parts: TargetsParts) {}

  /** Adds a target; its name is the host part of its address. */
  add(name: string, zone: string, reports: boolean): void {
    this.targets.set(name, {
      reports,
      name,
      zone,
      up: true,
      epoch: 1,
      completions: 0,
      loseAnswers: 0,
    });
  }

  get(name: string): SimTarget {
    const target = this.targets.get(name);
    if (!target) throw new RangeError(`target "${name}" is not declared`);
    return target;
  }

  /** Ends a target's process with everything that it runs. */
  kill(name: string): void {
    this.get(name).up = false;
    for (const run of this.live) if (run.target === name) this.end(run);
  }

  /** Starts a target again, cold. */
  start(name: string): void {
    const target = this.get(name);
    if (target.up) return;
    const before = target.completions;
    target.up = true;
    target.epoch++;
    if (!target.reports) return;
    // Owners learn of a restart from the next load report; completions until then count for more.
    this.parts.clock.after(reportedMs, () => {
      target.completions = Math.max(0, target.completions - before);
    });
  }

  /** Ends the runs of a host whose connections were closed. */
  hostClosed(host: string): void {
    for (const run of this.live) if (run.host === host) this.end(run);
  }

  end(run: Run): void {
    run.ended = true;
    this.live.delete(run);
  }

  /** Client of one host for one target. */
  client(host: TargetCaller, name: string): TargetClient {
    return new SimTargetClient(this, host, this.get(name));
  }
}

class SimTargetClient extends TargetClient {
  override readonly resumable = false;

  constructor(
    private readonly all: SimTargets,
    private readonly host: TargetCaller,
    private readonly target: SimTarget,
  ) {
    super();
  }

  override send(
    req: TargetRequest,
    signal: AbortSignal,
  ): Promise<TargetResponse> {
    const {clock, isCut, random} = this.all.parts;
    const {target} = this;
    const {id: host, gate} = this.host;
    const {zone, name} = target;
    return new Promise((resolve, reject) => {
      const unreachable = (reason: string) =>
        gate(() =>
          reject(
            new FailureError({
              kind: 'target-unreachable',
              target: name,
              reason,
            }),
          ),
        );
      const broken = () =>
        gate(() =>
          reject(
            new FailureError({
              kind: 'target-stream-broken',
              target: name,
              bytes: 0,
            }),
          ),
        );
      if (signal.aborted) return broken();
      if (isCut(host, zone)) {
        clock.after(silentMs, () => unreachable('ETIMEDOUT'));
        return;
      }
      clock.after(0.5 + random(), () => {
        if (!target.up) return unreachable('ECONNREFUSED');
        const run = this.startRun(req);
        signal.addEventListener('abort', () => {
          clock.after(0.5, () => this.all.end(run));
          broken();
        });
        const [min, max] = this.all.workMs;
        const poll = () => {
          if (run.ended) return broken();
          if (clock.nowMs() < endMs) {
            clock.after(Math.max(1, Math.min(50, endMs - clock.nowMs())), poll);
            return;
          }
          this.all.end(run);
          if (isCut(host, zone)) {
            clock.after(silentMs, broken);
          } else if (target.loseAnswers > 0) {
            target.loseAnswers--;
            broken();
          } else {
            gate(() => {
              target.completions++;
              resolve(answer(run));
            });
          }
        };
        const endMs = clock.nowMs() + min + random() * (max - min);
        poll();
      });
    });
  }

  private startRun(req: TargetRequest): Run {
    const run: Run = {
      operation: String(req.headers['x-operation']),
      send: String(req.headers['x-send']),
      tier: Number(req.headers['x-tier']),
      host: this.host.id,
      target: this.target.name,
      startMs: this.all.parts.clock.nowMs(),
      idempotent: req.idempotent,
      ended: false,
    };
    this.all.runs.push(run);
    this.all.live.add(run);
    this.all.parts.onStart(run);
    return run;
  }

  override async cancel(): Promise<boolean> {
    return true;
  }

  override resume(): Promise<TargetResponse> {
    return Promise.reject(new Error('targets of the simulation do not resume'));
  }

  override async isDown(): Promise<boolean> {
    return !this.target.up;
  }

  override async close(): Promise<void> {}
}

/** Load reports of the targets, read while a host reaches them. */
export class SimStatusClient extends TargetStatusClient {
  constructor(
    private readonly all: SimTargets,
    private readonly host: string,
  ) {
    super();
  }

  override async load(address: string): Promise<LoadReport | undefined> {
    const target = this.all.get(new URL(address).hostname);
    if (!target.up || this.all.parts.isCut(this.host, target.zone)) {
      return undefined;
    }
    const runs = [...this.all.live].filter(run => run.target === target.name);
    return {
      running: runs.length,
      waiting: 0,
      ageMs: 0,
      cacheUse: 0,
      epoch: target.epoch,
    };
  }

  override cacheEvents(
    _address: string,
    _onEvent: unknown,
    signal: AbortSignal,
  ): Promise<void> {
    return new Promise(resolve =>
      signal.addEventListener('abort', () => resolve()),
    );
  }
}

/** Body of the answer to an operation. */
export function answerOf(operation: string): string {
  return JSON.stringify({answerTo: operation});
}

function answer({operation}: Run): TargetResponse {
  const body = answerOf(operation);
  return {
    status: 200,
    headers: {
      'content-type': 'application/json',
      'content-length': String(body.length),
    },
    body: Readable.from([Buffer.from(body)]),
  };
}
