import type {Grant} from '../../request/dispatcher.js';
import type {RefusalReason} from '../../request/refusals.js';
import type {
  AttemptOutcome,
  QueuedRequest,
  TargetView,
} from '../../request/scheduler/types.js';
import type {Cancel, Clock} from '../clock.js';
import {FailureError} from '../errors/catalogue.js';
import {Task} from '../task.js';
import {HeldGrant} from './held-grant.js';
import {initialAvoidMs, maxFollowEntries, maxAvoidMs} from './permit-limits.js';
import type {
  FollowerMessage,
  HeldPermit,
  OwnerMessage,
  WaitingRequest,
} from './permit-messages.js';

/** A pending call of `acquire`. */
export interface PendingRequest {
  readonly serial: number;
  readonly request: QueuedRequest;
  readonly deadlineMs: number;
  readonly resolve: (grant: Grant) => void;
  readonly reject: (err: FailureError) => void;
}

/** Messages to a {@link GroupFollower}. */
export type FollowerInput =
  | {kind: 'acquire'; pending: PendingRequest}
  | {kind: 'cancel'; serial: number}
  | {kind: 'progress'; serial: number; tokens: number; firstTokenMs?: number}
  | {kind: 'release'; serial: number; outcome: AttemptOutcome}
  | {kind: 'ownerMessage'; host: string; message: OwnerMessage}
  | {kind: 'linkClosed'; host: string}
  /** Members or configuration changed, or time passed: the owner may be another host now. */
  | {kind: 'selectOwner'}
  /** This host was paused: its links are closed and its permits must be listed again. */
  | {kind: 'restart'};

/** Dependencies of a {@link GroupFollower}. */
export interface FollowerParts {
  /** Id of this host. */
  readonly host: string;
  readonly group: string;
  /** Whether the group belongs to another zone. */
  readonly foreign: boolean;
  readonly clock: Clock;
  /** Live hosts of the group's zone, in the order in which they become the owner. */
  readonly rank: () => readonly string[];
  /** Looks up a target in the local configuration. */
  readonly target: (name: string) => TargetView | undefined;
  /** Sends to a host, and opens a link if there is none. */
  readonly send: (host: string, message: FollowerMessage) => void;
  readonly nextRef: () => number;
  readonly onFreeSlots: (slots: number) => void;
}

interface Waiting extends PendingRequest {
  readonly stopTimer: Cancel;
  avoid: readonly string[];
}

/** Requests permits for one group from one owner at a time and tracks the granted ones. */
export class GroupFollower extends Task<FollowerInput> {
  private readonly waiting = new Map<number, Waiting>();
  private readonly held = new Map<number, HeldGrant>();
  private readonly avoid = new Map<string, {untilMs: number; forMs: number}>();
  private owner: string | undefined;
  /** Identifies the last `follow`; the owner ignores messages with any other ref. */
  private ref = 0;
  /** Owner that has not confirmed the last `unfollow` yet. */
  private former: {host: string; ref: number} | undefined;
  private reportedZoneHosts = 0;

  /**
   * @param parts - Dependencies.
   */
  constructor(private readonly parts: FollowerParts) {
    super();
  }

  /** Id of the host that is followed now. */
  get currentOwner(): string | undefined {
    return this.owner;
  }

  /** Whether no request waits and no permit is held. */
  get idle(): boolean {
    return this.waiting.size === 0 && this.held.size === 0;
  }

  /** Held permits by serial. */
  get permits(): ReadonlyMap<number, HeldGrant> {
    return this.held;
  }

  protected override *run(): Generator<undefined, void, FollowerInput> {
    for (;;) this.handle(yield);
  }

  private handle(input: FollowerInput): void {
    switch (input.kind) {
      case 'acquire':
        this.acquire(input.pending);
        break;
      case 'cancel':
        if (this.removeWaiting(input.serial)) {
          this.send({kind: 'cancel', ref: this.ref, serial: input.serial});
        }
        break;
      case 'progress':
        this.progress(input.serial, input.tokens, input.firstTokenMs);
        break;
      case 'release':
        if (this.held.delete(input.serial)) {
          this.sendRelease(input.serial, input.outcome);
        }
        break;
      case 'ownerMessage':
        this.onOwnerMessage(input.host, input.message);
        break;
      case 'linkClosed':
        if (this.former?.host === input.host) this.former = undefined;
        if (input.host !== this.owner) break;
        this.owner = undefined;
        this.avoidHost(input.host);
        this.selectOwner();
        break;
      case 'selectOwner':
        this.selectOwner();
        break;
      case 'restart':
        this.owner = undefined;
        this.former = undefined;
        this.selectOwner();
        break;
    }
  }

  private acquire(pending: PendingRequest): void {
    const {serial, deadlineMs} = pending;
    const stopTimer = this.parts.clock.after(deadlineMs - this.now, () =>
      this.expire(serial),
    );
    const waiting = {...pending, stopTimer, avoid: pending.request.avoid};
    this.waiting.set(serial, waiting);
    const followed = this.owner;
    this.selectOwner();
    if (this.parts.rank().length === 0) {
      this.refuse(serial, 'no-target');
    } else if (this.owner === followed) {
      // Otherwise a new `follow` has listed the request already.
      this.send({
        kind: 'request',
        ref: this.ref,
        waiting: this.toWire(waiting),
      });
    }
  }

  private expire(serial: number): void {
    if (!this.waiting.has(serial)) return;
    this.refuse(serial, 'deadline-exceeded-waiting');
    this.send({kind: 'cancel', ref: this.ref, serial});
  }

  private progress(
    serial: number,
    tokens: number,
    firstTokenMs: number | undefined,
  ): void {
    const grant = this.held.get(serial);
    if (!grant) return;
    grant.tokens = tokens;
    this.send({kind: 'progress', ref: this.ref, serial, tokens, firstTokenMs});
  }

  private onOwnerMessage(host: string, message: OwnerMessage): void {
    if (message.kind === 'unfollowed') {
      this.moved(host, message);
      return;
    }
    if (host !== this.owner || message.ref !== this.ref) return;
    switch (message.kind) {
      case 'grant':
        this.granted(message.serial, message.target, message.cachedTokens);
        break;
      case 'refuse':
        this.refuse(message.serial, message.reason, message.retryAfterMs);
        break;
      case 'preempt':
        this.preempt(message.serial, message.force);
        break;
      case 'handOver':
        this.avoidHost(host);
        this.selectOwner();
        break;
      case 'freeSlots':
        this.parts.onFreeSlots(message.slots);
        break;
    }
  }

  private preempt(serial: number, force: boolean): void {
    const taken = this.held.get(serial)?.preempt(force) ?? true;
    if (!taken) this.send({kind: 'declined', ref: this.ref, serial});
  }

  /** Reports to the current owner that the former one no longer uses this host's share. */
  private moved(
    host: string,
    message: Extract<OwnerMessage, {kind: 'unfollowed'}>,
  ): void {
    const {former} = this;
    if (former?.host !== host || former.ref !== message.ref) return;
    this.former = undefined;
    if (!message.held || this.owner === undefined) return;
    this.send({kind: 'share', ref: this.ref, settled: message.settled});
  }

  private granted(serial: number, name: string, cachedTokens: number): void {
    if (this.held.has(serial)) return;
    const waiting = this.waiting.get(serial);
    const target = this.parts.target(name);
    if (!waiting) {
      this.sendRelease(serial, unused);
      return;
    }
    if (!target?.usable) {
      // In this host's newer configuration the target is leaving or out; the owner has yet to learn it.
      this.sendRelease(serial, unused);
      waiting.avoid = [...new Set([...waiting.avoid, name])];
      const request = this.toWire(waiting);
      this.send({kind: 'request', ref: this.ref, waiting: request});
      return;
    }
    this.removeWaiting(serial);
    const grant = new HeldGrant(
      `${this.parts.host}/${serial}`,
      waiting.request,
      target,
      cachedTokens,
      this.now,
      (tokens, firstTokenMs) =>
        this.post({kind: 'progress', serial, tokens, firstTokenMs}),
      outcome => this.post({kind: 'release', serial, outcome}),
    );
    this.held.set(serial, grant);
    waiting.resolve(grant);
  }

  private refuse(
    serial: number,
    reason: RefusalReason,
    retryAfterMs?: number,
  ): void {
    const waiting = this.removeWaiting(serial);
    const failure = {kind: 'refused' as const, reason, retryAfterMs};
    waiting?.reject(new FailureError(failure));
  }

  private removeWaiting(serial: number): Waiting | undefined {
    const waiting = this.waiting.get(serial);
    waiting?.stopTimer();
    this.waiting.delete(serial);
    return waiting;
  }

  private sendRelease(serial: number, outcome: AttemptOutcome): void {
    this.send({kind: 'release', ref: this.ref, serial, outcome});
  }

  private avoidHost(host: string): void {
    const lastMs = this.avoid.get(host)?.forMs ?? initialAvoidMs / 2;
    const forMs = Math.min(maxAvoidMs, 2 * lastMs);
    this.avoid.set(host, {untilMs: this.now + forMs, forMs});
  }

  /** Follows the first host in rank order that is not avoided, unless it is the current owner. */
  private selectOwner(): void {
    for (const [host, {untilMs, forMs}] of this.avoid) {
      if (this.now >= untilMs + maxAvoidMs + forMs) this.avoid.delete(host);
    }
    const rank = this.parts.rank();
    const next = rank.find(
      host => this.now >= (this.avoid.get(host)?.untilMs ?? 0),
    );
    // While all hosts are avoided, requests wait until the first of them may be tried again.
    if (next === undefined && rank.length > 0) return;
    if (next === this.owner) {
      this.reportZoneHosts(rank.length);
      return;
    }
    if (next === undefined) {
      for (const serial of this.waiting.keys()) {
        this.refuse(serial, 'no-target');
      }
    }
    if (this.owner !== undefined) {
      this.former = {host: this.owner, ref: this.ref};
      this.send({kind: 'unfollow', ref: this.ref});
    }
    this.owner = next;
    if (next !== undefined) this.follow(rank.length);
  }

  private reportZoneHosts(count: number): void {
    if (this.owner === undefined || count === this.reportedZoneHosts) return;
    this.reportedZoneHosts = count;
    this.send({kind: 'zoneHosts', ref: this.ref, zoneHosts: count});
  }

  private follow(zoneHosts: number): void {
    const ref = (this.ref = this.parts.nextRef());
    const owner = this.owner;
    this.reportedZoneHosts = zoneHosts;
    const outstanding = [...this.held].map(([serial, grant]): HeldPermit => ({
      serial,
      request: grant.request,
      target: grant.target.name,
      ageMs: this.now - grant.sinceMs,
      tokens: grant.tokens,
    }));
    const waiting = [...this.waiting.values()].map(w => this.toWire(w));
    let last = false;
    while (!last && this.owner === owner) {
      const held = outstanding.splice(0, maxFollowEntries);
      const more = waiting.splice(0, maxFollowEntries - held.length);
      last = outstanding.length === 0 && waiting.length === 0;
      this.send({
        kind: 'follow',
        ref,
        group: this.parts.group,
        foreign: this.parts.foreign,
        zoneHosts,
        outstanding: held,
        waiting: more,
        last,
      });
    }
  }

  private toWire(waiting: Waiting): WaitingRequest {
    const timeoutMs = Math.max(0, waiting.deadlineMs - this.now);
    const {avoid} = waiting;
    const request = {...waiting.request, timeoutMs, avoid};
    return {serial: waiting.serial, request};
  }

  private send(message: FollowerMessage): void {
    if (this.owner !== undefined) this.parts.send(this.owner, message);
  }

  private get now(): number {
    return this.parts.clock.nowMs();
  }
}

/** Outcome of a permit that is returned unused. */
const unused: AttemptOutcome = {
  result: 'cancelled',
  totalMs: 0,
  tokens: 0,
};
