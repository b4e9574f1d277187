import assert from 'node:assert/strict';
import {request, type RequestOptions} from 'node:http';
import {buffer} from 'node:stream/consumers';
import type {TestContext} from 'node:test';
import {setTimeout} from 'node:timers/promises';
import {endlessBytes} from './bodies.js';
import type {Crowd} from './crowd.js';
import type {HostBounds, HostProcess} from './host-process.js';

/** Times that an ordinary request is sent while a crowd is connected, until it is served. */
const maxTries = 10;
/** Longest time that an ordinary caller waits after a refusal, in milliseconds. */
const maxRetryAfterMs = 1000;
/** Probes in a row without progress after which a crowd counts as held back by the host. */
const quietProbes = 50;

/** Answer to an ordinary request; status 0 if there was none. */
export interface Answered {
  readonly status: number;
  readonly body: Buffer;
  readonly retryAfterMs: number;
}

/** How {@link HostFixture.checkBeside} sends its request. */
export interface OrdinaryRequest {
  /** Path; by default one of a service that answers at once. */
  readonly path?: string;
  readonly deadlineMs?: number;
  readonly body?: Buffer;
  /** Whether the host may close the connection without an answer, because it has too many. */
  readonly mayBeClosed?: boolean;
}

/** A host in a process of its own, and the checks beside and after a crowd. */
export abstract class HostFixture {
  private idleSockets = 0;

  /**
   * @param t - Test that gets the figures that were measured.
   * @param host - The host.
   * @param bounds - What it must stay under.
   */
  constructor(
    private readonly t: TestContext,
    readonly host: HostProcess,
    private readonly bounds: HostBounds,
  ) {}

  /** Number of requests that reached targets. */
  abstract get executed(): number;
  /** Number of the host's connections to targets. */
  abstract get targetSockets(): number;
  /** Sends one request of an ordinary caller on a connection of its own. */
  abstract send(ordinary?: OrdinaryRequest): Promise<Answered>;

  /** Waits until an ordinary request is served. */
  async untilServed(): Promise<void> {
    while ((await this.send()).status !== 200) this.host.assertAlive();
    this.idleSockets = this.ownSockets();
  }

  /**
   * Waits until a crowd has sent all that it can: each connection has sent everything or is closed, or the host takes
   * nothing more.
   */
  async settle(crowd: Crowd): Promise<void> {
    let last = -1;
    for (let quiet = 0; quiet < quietProbes; quiet++) {
      await this.probe();
      crowd.sendParts();
      const progress = crowd.progress + this.executed;
      if (progress !== last) quiet = 0;
      last = progress;
    }
  }

  /**
   * Checks that an ordinary caller is served while a crowd is connected. Until then each request gets an answer, which
   * may refuse it.
   */
  async checkBeside(ordinary: OrdinaryRequest = {}): Promise<void> {
    const seen: number[] = [];
    for (let i = 0; i < maxTries; i++) {
      const {status, retryAfterMs} = await this.send(ordinary);
      this.host.measure();
      this.host.assertAlive();
      seen.push(status);
      if (status === 0 && !ordinary.mayBeClosed) break;
      if (status === 200) return;
      const waitMs = status === 0 ? maxRetryAfterMs : retryAfterMs;
      await setTimeout(Math.min(waitMs, maxRetryAfterMs));
    }
    assert.fail(`statuses of ordinary requests beside a crowd: ${seen}`);
  }

  /** Makes a crowd leave and checks that an ordinary request is served afterwards and that all bounds held. */
  async checkAfter(crowd: Crowd): Promise<void> {
    this.host.measure();
    const {mostSent} = crowd;
    await crowd.leave();
    // The host holds what the connections sent until it has noticed that they are closed.
    while (this.ownSockets() > this.idleSockets) await this.probe();
    const {status} = await this.send();
    const broken = this.host.brokenBounds(this.bounds);
    if (mostSent >= endlessBytes) {
      broken.push(`read without end: ${mostSent} bytes of one connection`);
    }
    this.t.diagnostic(`${this.host.usage}, ${mostSent} bytes of a connection`);
    assert.deepEqual(broken, []);
    assert.equal(status, 200);
  }

  private async probe(): Promise<void> {
    await this.host.probe();
    this.host.measure();
    this.host.assertAlive();
  }

  /** Number of the host's sockets that do not lead to a target. */
  private ownSockets(): number {
    return this.host.measure() - this.targetSockets;
  }
}

/** Sends a request on a connection of its own and reads the answer. */
export function sendOnce(
  options: RequestOptions,
  body: Buffer,
): Promise<Answered> {
  return new Promise(resolve => {
    const none = {status: 0, body: Buffer.alloc(0), retryAfterMs: 0};
    const req = request({...options, method: 'POST', agent: false}, res => {
      const status = res.statusCode ?? 0;
      const retryAfterMs = Number(res.headers['retry-after'] ?? 0) * 1000;
      buffer(res).then(
        received => resolve({status, body: received, retryAfterMs}),
        () => resolve(none),
      );
    });
    req.once('error', () => resolve(none));
    req.end(body);
  });
}
