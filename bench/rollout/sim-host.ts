import {empty, type Stream} from 'most';
import {Clock, type Cancel} from '../../src/process/clock.js';
import {
  FailureError,
  type Failure,
} from '../../src/process/errors/catalogue.js';
import {MemberView, type Member} from '../../src/process/member-view.js';
import {
  LogClient,
  type LogPage,
  type LogRecord,
} from '../../src/connection/platform/log-client.js';
import type {Random} from './random.js';

/** Clock of one host, whose timers stand still while the host is paused or dead. */
export class HostClock extends Clock {
  private readonly held: (() => void)[] = [];
  private state: 'running' | 'paused' | 'dead' = 'running';

  /** Follows another clock. */
  constructor(private readonly base: Clock) {
    super();
  }

  /** Whether the host runs. */
  get running(): boolean {
    return this.state === 'running';
  }

  /** Whether the host was killed. */
  get dead(): boolean {
    return this.state === 'dead';
  }

  override nowMs(): number {
    return this.base.nowMs();
  }

  override wallMs(): number {
    return this.base.wallMs();
  }

  override after(delayMs: number, fn: () => void): Cancel {
    let cancelled = false;
    const cancel = this.base.after(delayMs, () => {
      if (cancelled || this.state === 'dead') return;
      if (this.state === 'running') fn();
      else this.held.push(() => !cancelled && fn());
    });
    return () => {
      cancelled = true;
      cancel();
    };
  }

  /** Stops the timers of the host until `resume`. */
  pause(): void {
    if (this.state === 'running') this.state = 'paused';
  }

  /** Runs the timers that fell due during a pause. */
  resume(): void {
    if (this.state !== 'paused') return;
    this.state = 'running';
    for (const fn of this.held.splice(0)) fn();
  }

  /** Ends the host for good. */
  kill(): void {
    this.state = 'dead';
  }
}

/** Log in memory, shared by the hosts of a simulation. */
export class SimLog {
  readonly streams = new Map<string, LogRecord[]>();
  /** Whether calls fail. */
  down = false;
  /** Part of the appends whose answer is lost although they took effect. */
  lostAnswers = 0;
  private waiting: (() => void)[] = [];

  /** Records of a stream. */
  records(stream: string): LogRecord[] {
    let records = this.streams.get(stream);
    if (!records) this.streams.set(stream, (records = []));
    return records;
  }

  /** Appends a record and wakes the readers. */
  push(stream: string, data: unknown): number {
    const records = this.records(stream);
    records.push({offset: records.length, data: structuredClone(data)});
    for (const wake of this.waiting.splice(0)) wake();
    return records.length - 1;
  }

  /** Calls a function after the next append. */
  onAppend(fn: () => void): void {
    this.waiting.push(fn);
  }

  /** Forgets a function given to `onAppend`. */
  forget(fn: () => void): void {
    this.waiting = this.waiting.filter(other => other !== fn);
  }
}

/** Client of a simulated log on one host. */
export class SimLogClient extends LogClient {
  /** Calls take `latencyMs` on the clock of the host. */
  constructor(
    private readonly log: SimLog,
    private readonly base: Clock,
    private readonly clock: Clock,
    private readonly rng: Random,
    private readonly latencyMs = 20,
  ) {
    super();
  }

  override append(stream: string, data: unknown): Promise<number> {
    return new Promise((resolve, reject) => {
      const fail = () => reject(this.unavailable(stream));
      // What was sent before a pause arrives during it; only the answer waits for the host.
      this.base.after(this.latencyMs, () => {
        if (this.log.down) return this.clock.after(this.latencyMs, fail);
        const offset = this.log.push(stream, data);
        const lost = this.rng.next() < this.log.lostAnswers;
        return this.clock.after(
          lost ? 2000 : this.latencyMs,
          lost ? fail : () => resolve(offset),
        );
      });
    });
  }

  override read(
    stream: string,
    from: number,
    options: {limit?: number; waitMs?: number} = {},
  ): Promise<LogPage> {
    return new Promise((resolve, reject) => {
      const answer = () => {
        if (this.log.down) return reject(this.unavailable(stream));
        const all = this.log.records(stream);
        const records = all.slice(from, from + (options.limit ?? 1000));
        resolve({records, first: 0, next: all.length});
      };
      const look = () => {
        if (this.log.down) return reject(this.unavailable(stream));
        if (this.log.records(stream).length > from || !options.waitMs)
          return answer();
        let done = false;
        const end = () => {
          if (done) return;
          done = true;
          this.log.forget(end);
          this.clock.after(this.latencyMs, answer);
        };
        this.log.onAppend(end);
        this.clock.after(options.waitMs, end);
      };
      this.clock.after(this.latencyMs, look);
    });
  }

  private unavailable(stream: string): FailureError {
    const failure: Failure = {
      kind: 'log-unavailable',
      stream,
      reason: 'simulated',
    };
    return new FailureError(failure);
  }
}

/** Members of a simulation. */
export class SimMembers extends MemberView {
  override readonly changes: Stream<Member> = empty();

  /** Asks a function for the ids of the hosts that are not confirmed dead. */
  constructor(
    private readonly id: string,
    private readonly ids: () => readonly string[],
  ) {
    super();
  }

  override get self(): Member {
    return member(this.id);
  }

  override live(): readonly Member[] {
    return this.ids().map(member);
  }
}

function member(id: string): Member {
  return {
    id,
    zone: id,
    region: 'region',
    peerAddress: '127.0.0.1:1',
    incarnation: 1,
    state: 'alive',
    configOffset: 0,
  };
}
