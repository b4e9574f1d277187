import type {Decision, QueuedRequest} from '../../request/scheduler/types.js';
import type {ConfigState} from '../../version/config-state.js';
import {Task} from '../task.js';
import type {GroupMessage, GroupParts} from './group-messages.js';
import {viewGroup} from './group-targets.js';
import {deathGraceMs, freeSlotsIntervalMs} from './permit-limits.js';
import type {FollowerMessage, OwnerMessage} from './permit-messages.js';
import {PermitTable, permitKey} from './permit-table.js';
import {ShareLedger, type Share} from './share-ledger.js';

/** Owner of a group: passes the followers' messages to the scheduler and sends its decisions. */
export class GroupTask extends Task<GroupMessage> {
  private readonly table = new PermitTable();
  private readonly ledger: ShareLedger;
  /** Ref of the last `follow` of each follower. */
  private readonly refs = new Map<string, number>();
  /** Followers that sent `unfollow` and wait for the confirmation that their share is unused. */
  private readonly leaving: {host: string; ref: number; held: boolean}[] = [];
  /** Keys listed so far by followers whose `follow` is not complete. */
  private readonly listedKeys = new Map<string, Set<string>>();
  private config: ConfigState;
  private allowed: ReadonlySet<string> = new Set();
  private appliedShare = '';
  /** Share of the limits that was last set in the scheduler, from 0 to 1. */
  private part = 0;
  private recovering = true;
  /** Hosts that sent `unfollow` and have not followed again. */
  private readonly departed = new Set<string>();
  private readonly remoteZoneHosts = new Set<string>();
  private handingOver = false;
  private emptySinceMs: number;
  private lastFreeSlots = -1;
  private freeSlotsSentMs = 0;

  /** @param parts - Dependencies. */
  constructor(private readonly parts: GroupParts) {
    super();
    this.config = parts.config;
    this.emptySinceMs = parts.clock.nowMs();
    this.ledger = new ShareLedger(parts.roster, this.emptySinceMs);
  }

  /** Number of permits that count against a target's limit. */
  outstanding(target: string): number {
    return this.table.count(target);
  }

  /** Time without a follower, in milliseconds; 0 while there is one. */
  get idleMs(): number {
    return this.ledger.size > 0
      ? 0
      : this.parts.clock.nowMs() - this.emptySinceMs;
  }

  /** Number of followers, shares held and number of waiting requests. */
  get status(): {followers: number; share: Share; waiting: number} {
    return {
      followers: this.ledger.size,
      share: this.ledger.evaluate(this.now),
      waiting: this.table.waitingCount,
    };
  }

  protected override *run(): Generator<undefined, void, GroupMessage> {
    for (;;) {
      this.handle(yield);
      this.applyShare();
      this.confirmUnfollowed();
    }
  }

  private handle(message: GroupMessage): void {
    const {core} = this.parts;
    switch (message.kind) {
      case 'follower':
        this.onFollowerMessage(message.host, message.message);
        break;
      case 'linkClosed':
        this.linkClosed(message.host);
        break;
      case 'loadReport':
        this.execute(core.loadReport(message.target, message.report, this.now));
        break;
      case 'cacheEvent':
        this.execute(core.cacheEvent(message.target, message.event, this.now));
        break;
      case 'configChanged':
        this.config = message.state;
        this.appliedShare = '';
        break;
      case 'versionCaps':
        this.allowed = new Set(message.caps.map(({version}) => version));
        this.appliedShare = '';
        this.execute(core.setVersionCaps(message.caps, this.now));
        break;
      case 'membershipChanged':
        this.applyShare();
        this.releaseStale();
        break;
      case 'tick':
        this.applyShare();
        this.releaseStale();
        this.execute(core.tick(this.now));
        this.publishFreeSlots();
        break;
      case 'handOver':
        this.handingOver = true;
        for (const [host, ref] of this.refs) {
          this.parts.send(host, {kind: 'handOver', ref});
        }
        break;
    }
  }

  private onFollowerMessage(host: string, message: FollowerMessage): void {
    if (message.kind === 'follow') {
      this.follow(host, message);
      return;
    }
    if (this.refs.get(host) !== message.ref) return;
    const {core} = this.parts;
    switch (message.kind) {
      case 'share':
        this.ledger.release(host, message.settled);
        break;
      case 'zoneHosts':
        this.ledger.setZoneHosts(host, message.zoneHosts);
        break;
      case 'request':
        this.offer(host, message.waiting.serial, message.waiting.request);
        break;
      case 'cancel': {
        const key = permitKey(host, message.serial);
        // If the request was granted in the meantime, the follower releases the permit.
        if (this.table.removeWaiting(key)) {
          this.execute(core.cancel(key, this.now));
        }
        break;
      }
      case 'progress': {
        const permit = this.table.get(permitKey(host, message.serial));
        if (!permit) break;
        const {tokens, firstTokenMs} = message;
        this.execute(
          core.progress(permit.permitId, tokens, firstTokenMs, this.now),
        );
        break;
      }
      case 'declined': {
        const permit = this.table.get(permitKey(host, message.serial));
        if (permit) this.execute(core.declined(permit.permitId, this.now));
        break;
      }
      case 'release': {
        const key = permitKey(host, message.serial);
        const permit = this.table.removePermit(key);
        if (permit) {
          this.execute(
            core.complete(permit.permitId, message.outcome, this.now),
          );
        }
        break;
      }
      case 'unfollow':
        this.unfollow(host, message.ref);
        break;
    }
  }

  private follow(
    host: string,
    message: Extract<FollowerMessage, {kind: 'follow'}>,
  ): void {
    if (this.refs.get(host) !== message.ref) {
      this.refs.set(host, message.ref);
      this.ledger.follow(host, message.foreign, message.zoneHosts, this.now);
      this.listedKeys.set(host, new Set());
      this.departed.delete(host);
      if (message.foreign) this.remoteZoneHosts.add(host);
      // The share of a host that follows again is not used until its lists are complete.
      this.applyShare();
    }
    const listed = this.listedKeys.get(host);
    if (!listed) return;
    for (const {
      serial,
      request,
      target,
      ageMs,
      tokens,
    } of message.outstanding) {
      const key = permitKey(host, serial);
      listed.add(key);
      if (this.table.get(key)?.target === target) continue;
      this.discard(key);
      const permitId = `${key}/adopted`;
      const expiresMs = this.now + request.timeoutMs;
      this.table.addPermit(key, {host, target, permitId, expiresMs});
      this.execute(
        this.parts.core.adopt(
          {
            permitId,
            request: this.withId(request, key, host),
            target,
            ageMs,
            tokens,
          },
          this.now,
        ),
      );
    }
    for (const {serial, request} of message.waiting) {
      const key = permitKey(host, serial);
      listed.add(key);
      // The grant was lost in transit if the follower lists the request as waiting.
      if (this.table.get(key)) this.discard(key);
      this.offer(host, serial, request);
    }
    if (!message.last) return;
    for (const key of this.table.keysOf(host)) {
      if (!listed.has(key)) this.discard(key);
    }
    this.listedKeys.delete(host);
    this.ledger.listed(host);
    this.lastFreeSlots = -1;
    if (this.handingOver) {
      this.parts.send(host, {kind: 'handOver', ref: message.ref});
    }
  }

  private offer(host: string, serial: number, request: QueuedRequest): void {
    const key = permitKey(host, serial);
    const expiresMs = this.now + request.timeoutMs;
    if (!this.table.addWaiting(key, {host, expiresMs})) return;
    const req = this.withId(request, key, host);
    this.execute(this.parts.core.offer(req, this.now));
  }

  private unfollow(host: string, ref: number): void {
    // The follower lists its permits to the next owner, but they still count here too: it may hold
    // more permits than its share, and those slots would be granted twice.
    for (const key of this.table.waitingOf(host)) this.discard(key);
    const held = this.removeFollower(host);
    this.departed.add(host);
    this.leaving.push({host, ref, held});
  }

  private linkClosed(host: string): void {
    if (!this.refs.has(host)) return;
    for (const key of this.table.waitingOf(host)) this.discard(key);
    this.removeFollower(host);
  }

  private removeFollower(host: string): boolean {
    this.refs.delete(host);
    this.listedKeys.delete(host);
    const held = this.ledger.leave(host);
    if (this.ledger.size === 0) this.emptySinceMs = this.now;
    return held;
  }

  /**
   * Releases the permits of hosts that are not live once the grace period has passed, and of hosts
   * that follow another owner once the deadline of the request has passed.
   */
  private releaseStale(): void {
    for (const host of this.table.hosts()) {
      if (this.refs.has(host)) continue;
      if (this.parts.roster.isMissing(host, this.now)) {
        for (const key of this.table.keysOf(host)) this.discard(key, 'broken');
      }
      const beforeMs = this.now - deathGraceMs;
      for (const key of this.table.expired(host, beforeMs)) this.discard(key);
    }
  }

  private discard(key: string, result: 'cancelled' | 'broken' = 'cancelled') {
    const {core} = this.parts;
    const permit = this.table.removePermit(key);
    if (permit) {
      const outcome = {result, totalMs: 0, tokens: 0};
      this.execute(core.complete(permit.permitId, outcome, this.now));
    }
    if (this.table.removeWaiting(key)) {
      this.execute(core.cancel(key, this.now));
    }
  }

  /** Sets the targets and the usable share of their limits in the scheduler, if they changed. */
  private applyShare(): void {
    const share = this.ledger.evaluate(this.now);
    const ratio = this.handingOver ? 0 : share.held / Math.max(1, share.hosts);
    const shareKey = `${ratio} ${share.recovering}`;
    if (shareKey === this.appliedShare) return;
    this.appliedShare = shareKey;
    const {core, group} = this.parts;
    const targets = viewGroup(this.config, group, this.allowed);
    // The smaller limit is applied first, so that nothing above the new limit is granted in between.
    const reduces = ratio < this.part;
    this.part = ratio;
    if (reduces) this.execute(core.setShare(ratio, this.now));
    this.execute(core.setTargets(targets, this.now));
    if (!reduces) this.execute(core.setShare(ratio, this.now));
    if (!share.recovering && this.recovering) {
      this.recovering = false;
      this.execute(core.recovered(this.now));
    }
  }

  private confirmUnfollowed(): void {
    if (this.leaving.length === 0) return;
    const {held, hosts} = this.ledger.evaluate(this.now);
    const ratio = held / Math.max(1, hosts);
    // Permits of hosts that sent `unfollow` are listed at their new owner.
    const counts = this.table.countExcluding(this.departed);
    const within = viewGroup(this.config, this.parts.group, this.allowed).every(
      ({name, maxConcurrency}) =>
        (counts.get(name) ?? 0) <= scaleLimit(maxConcurrency, ratio),
    );
    if (!within) return;
    const settled =
      this.ledger.isSettled(this.now) &&
      ![...this.table.hosts()].some(host => this.remoteZoneHosts.has(host));
    for (const {host, ref, held: had} of this.leaving.splice(0)) {
      this.parts.send(host, {kind: 'unfollowed', ref, held: had, settled});
    }
  }

  private publishFreeSlots(): void {
    const slots = this.parts.core.freeSlots;
    const ageMs = this.now - this.freeSlotsSentMs;
    if (slots === this.lastFreeSlots && ageMs < freeSlotsIntervalMs) return;
    this.lastFreeSlots = slots;
    this.freeSlotsSentMs = this.now;
    for (const [host, ref] of this.refs) {
      this.parts.send(host, {kind: 'freeSlots', ref, slots});
    }
  }

  private execute(decisions: readonly Decision[]): void {
    for (const decision of decisions) this.apply(decision);
  }

  private apply(decision: Decision): void {
    if (decision.kind === 'preempt') {
      const key = this.table.keyOf(decision.permitId);
      const permit = key === undefined ? undefined : this.table.get(key);
      const {force} = decision;
      if (permit) {
        this.send(key as string, permit.host, {kind: 'preempt', force});
      }
      return;
    }
    const key = decision.requestId;
    const waiting = this.table.removeWaiting(key);
    if (!waiting) return;
    const {host, expiresMs} = waiting;
    if (decision.kind === 'refuse') {
      const {reason, retryAfterMs} = decision;
      this.send(key, host, {kind: 'refuse', reason, retryAfterMs});
      return;
    }
    const {permitId, cachedTokens} = decision;
    const target = decision.target.name;
    this.table.addPermit(key, {host, target, permitId, expiresMs});
    this.send(key, host, {kind: 'grant', target, cachedTokens});
  }

  private send(
    key: string,
    host: string,
    message:
      | Omit<Extract<OwnerMessage, {kind: 'preempt'}>, 'ref' | 'serial'>
      | Omit<Extract<OwnerMessage, {kind: 'grant'}>, 'ref' | 'serial'>
      | Omit<Extract<OwnerMessage, {kind: 'refuse'}>, 'ref' | 'serial'>,
  ): void {
    const ref = this.refs.get(host);
    if (ref === undefined) return;
    const serial = Number(key.slice(key.lastIndexOf('/') + 1));
    this.parts.send(host, {...message, ref, serial});
  }

  /** Replaces the id by the permit key, which is unique in the fleet; sets host and service. */
  private withId(req: QueuedRequest, key: string, host: string): QueuedRequest {
    const service = this.parts.group.split('/')[1];
    return {...req, id: key, host, service};
  }

  private get now(): number {
    return this.parts.clock.nowMs();
  }
}

/** Scales a limit as the scheduler does: an owner with more than half of the shares has at least 1. */
function scaleLimit(limit: number, ratio: number): number {
  const slots = Math.floor(limit * ratio + 1e-9);
  return ratio > 0.5 ? Math.max(1, slots) : slots;
}
