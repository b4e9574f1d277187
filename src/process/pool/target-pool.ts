import {TargetConnectionPool} from '../../connection/gateway/target-connections.js';
import type {SlotRequest} from '../../request/gateway/dispatcher.js';
import type {TargetReport} from '../fleet/gossip-message.js';
import {BrittleUse} from './brittle-use.js';
import {chooseTarget, type PlacementRequest} from './choose-target.js';
import {coldSources, ColdTargets} from './cold-targets.js';
import {completionFit, requiredFit} from './completion-fit.js';
import {finalPollsMs, LimitedTargets} from './limited-targets.js';
import {LoadReports} from './load-reports.js';
import {noSlots, type NoSlot} from './no-slot.js';
import {outcomes, PooledTarget, type Outcome} from './pooled-target.js';
import {slotShare, sumOccupancy, type Occupancy} from './service-capacity.js';
import type {SlotShares} from './slot-shares.js';
import {TargetCandidates, type PoolMember} from './target-candidates.js';
import type {TargetPoolParts} from './target-pool-parts.js';
import {SessionAffinity} from './session-affinity.js';
import {
  TargetStatements,
  type ResponseStatement,
  type StatementReport,
} from './target-statements.js';
import {createSlotShares} from './weighted-slot-shares.js';

/**
 * Time for which an unreachable target counts as cold after its suspension, in milliseconds, because it may have restarted.
 */
const assumedColdMs = 2500;

/** Targets of all services, with their slots and connections. */
export class TargetPool {
  private readonly members = new Map<string, PoolMember>();
  private readonly byService = new Map<string, PoolMember[]>();
  private readonly sessions = new SessionAffinity();
  private readonly loadReports = new LoadReports();
  private readonly limited = new LimitedTargets();
  private readonly shares: SlotShares;
  private readonly candidates: TargetCandidates;
  private readonly statements: TargetStatements;
  private readonly cold: ColdTargets;
  /** Limits the requests to brittle targets. */
  readonly brittle: BrittleUse;

  /** @param parts - Dependencies of the pool. */
  constructor(private readonly parts: TargetPoolParts) {
    this.shares = createSlotShares(parts);
    this.statements = new TargetStatements(parts.logger);
    this.brittle = new BrittleUse(parts, this.statements.brittle);
    this.candidates = new TargetCandidates(parts, this.shares, this.brittle);
    this.cold = new ColdTargets(parts.logger, parts.onColdSend);
  }

  /**
   * Builds this host's reports about its targets, for gossip.
   *
   * @param withIdle - Whether to report idle targets too, because another host has just started.
   */
  takeReports(withIdle: boolean): Record<string, TargetReport> {
    const reports: Record<string, TargetReport> = {};
    for (const [id, {target}] of this.members) {
      const report = target.takeReport(withIdle);
      if (report) reports[id] = report;
    }
    return reports;
  }

  /**
   * Replaces the target reports of another host.
   *
   * @param host - Name of the host.
   * @param reports - Its reports by target id.
   */
  applyReports(
    host: string,
    reports: Readonly<Record<string, TargetReport>>,
  ): void {
    this.loadReports.apply(host, reports);
  }

  /**
   * Drops the reports of hosts from which no gossip is received, and divides slots among the others.
   *
   * @param heard - Names of the other hosts from which gossip is received.
   */
  retainReportsOf(heard: ReadonlySet<string>): void {
    this.loadReports.retainHosts(heard);
    this.shares.setHosts([this.parts.host, ...heard]);
  }

  /** Adds, updates and removes targets according to the deployment state. */
  refresh(): void {
    const {state, clock, limits, logger} = this.parts;
    const nowMs = clock.nowMs();
    for (const [id, {target, connections}] of this.members) {
      const known = state.targets.get(id);
      const replaced =
        known !== undefined &&
        (known.entry.address !== target.entry.address ||
          known.entry.bornMs !== target.entry.bornMs);
      if (known && !replaced) continue;
      this.members.delete(id);
      target.departure.recordRemoved(nowMs);
      connections.closeIdle();
      limits.forget(id);
      this.loadReports.forget(id);
      this.statements.removed(id, nowMs);
      this.shares.forget(id);
      this.cold.removed(target, nowMs);
      this.brittle.forget(id);
      this.parts.paces?.forget(id);
      logger.event('targetGone', {target: id, replaced});
    }
    this.byService.clear();
    for (const [id, {entry, coldUntilMs}] of state.targets) {
      let member = this.members.get(id);
      if (!member) {
        const {onConnect, paces, watch} = this.parts;
        member = {
          target: new PooledTarget(
            entry,
            this.loadReports.of(id),
            this.statements.of(id, entry.bornMs, entry.service),
            paces?.of(id, entry.service),
            () => state.targets.get(id)?.coldUntilMs ?? 0,
          ),
          connections: new TargetConnectionPool(
            entry.address,
            onConnect,
            watch && (() => watch(entry)),
          ),
        };
        this.members.set(id, member);
        this.cold.added(member.target);
        const {service, zone, version} = entry;
        const coldMs = Math.max(0, Math.round(coldUntilMs - nowMs));
        logger.event('targetKnown', {
          target: id,
          service,
          zone,
          version,
          coldMs,
        });
      }
      if (entry.draining && !member.target.entry.draining) {
        logger.event('targetDraining', {target: id});
      }
      member.target.entry = entry;
      if (entry.draining) member.target.departure.recordAnnounced(nowMs);
      this.cold.check(member.target, coldSources.entry, nowMs);
      const list = this.byService.get(entry.service);
      if (list) list.push(member);
      else this.byService.set(entry.service, [member]);
    }
  }

  /**
   * Takes a slot at the best target for a request.
   *
   * @param request - Request to place.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @returns The target, or why no slot was taken.
   */
  takeSlot(request: SlotRequest, nowMs: number): PooledTarget | NoSlot {
    const demand = this.demandOf(request, nowMs);
    const minFit = requiredFit(
      this.eligible(request, nowMs),
      demand,
      nowMs < request.untilMs - finalPollsMs,
    );
    const areReserved = this.limited.areReserved(
      request,
      this.eligible(request, nowMs),
      nowMs,
    );
    const fits = (target: PooledTarget) =>
      !(areReserved && target.stated.limitPerSecond !== undefined) &&
      completionFit(target, demand) >= minFit;
    const {candidates} = this;
    const members = this.byService.get(request.service) ?? [];
    // A canary request does not wait for the new version; the old one can serve it as well.
    const trial = request.trial
      ? chooseTarget(candidates.usable(members, request, true, nowMs), demand)
      : undefined;
    const {target, hasFree} = trial
      ? {target: trial, hasFree: true}
      : candidates.choose(members, request, demand, fits);
    if (!target) return hasFree ? noSlots.unsuitable : noSlots.full;
    candidates.take(target, nowMs);
    this.cold.sent(target, this.parts.hosts().length, nowMs);
    this.statements.sent(target.entry.id, nowMs);
    this.limited.record(request);
    target.localRequests++;
    target.localPendingTokens += request.promptTokens;
    if (request.session !== undefined) {
      this.sessions.set(request.session, target.entry.id);
    }
    return target;
  }

  /**
   * Adds a request to the load that callers offer.
   *
   * @param request - Request for a slot.
   */
  recordOffered({service, costMs}: SlotRequest): void {
    const {clock, transfers} = this.parts;
    transfers?.offered(service, costMs, clock.nowMs());
  }

  private demandOf(request: SlotRequest, nowMs: number): PlacementRequest {
    const {session} = request;
    const limitedMs = this.limited.costMs(request);
    return {
      promptTokens: request.promptTokens,
      outputTokens: request.outputTokens,
      longOutputTokens: request.longOutputTokens,
      objectiveMs: request.objectiveMs,
      remainingMs: request.deadlineAtMs - nowMs,
      cachedAt: session === undefined ? undefined : this.sessions.get(session),
      zone: this.parts.zone,
      nowMs,
      random: this.parts.paces && this.parts.random,
      penaltyMs: (target: PooledTarget) =>
        this.candidates.remoteSlotMs(target) +
        (target.stated.limitPerSecond === undefined ? 0 : limitedMs),
    };
  }

  /**
   * Releases a slot and records the outcome of its request.
   *
   * @param target - Target of the request.
   * @param outcome - How the request ended there.
   * @param pendingTokens - Prompt tokens of the request if it had no first event, or else 0.
   */
  release(target: PooledTarget, outcome: Outcome, pendingTokens: number): void {
    const {clock, logger} = this.parts;
    const nowMs = clock.nowMs();
    this.brittle.released(target, outcome, nowMs);
    target.localRequests = Math.max(0, target.localRequests - 1);
    this.recordPromptRead(target, pendingTokens);
    const isSuspended = target.recordOutcome(outcome, nowMs);
    if (outcome === outcomes.unreachable) {
      const pausedMs = Math.max(0, target.suspendedUntilMs - nowMs);
      const coldMs = pausedMs + assumedColdMs;
      this.cold.extend(target, coldMs, coldSources.unreachable, nowMs);
    }
    if (isSuspended) {
      logger.event('targetSuspended', {
        target: target.entry.id,
        outcome,
        failureRate: Number(target.failureRate.toFixed(2)),
        forMs: Math.round(target.suspendedUntilMs - nowMs),
      });
    }
  }

  /**
   * Records what a target says of itself in a response.
   *
   * @param target - Target of the request.
   * @param stated - Content of the response.
   * @param sentAtMs - Time on the process's clock at which the request was sent, in milliseconds.
   */
  recordStatement(
    target: PooledTarget,
    stated: ResponseStatement,
    sentAtMs: number,
  ): void {
    const {id, bornMs, zone} = target.entry;
    const nowMs = this.parts.clock.nowMs();
    if (stated.coldMs) {
      this.cold.extend(target, stated.coldMs, coldSources.response, nowMs);
    }
    const pacePercent = stated.load?.pacePercent;
    if (pacePercent !== undefined) {
      this.parts.paces?.record(id, pacePercent, nowMs);
    }
    if (stated.leaving) target.departure.recordAnnounced(nowMs);
    this.parts.transfers?.heard(zone, nowMs);
    this.statements.record(id, bornMs, stated, sentAtMs, nowMs);
    this.brittle.responded(target, stated, nowMs);
  }

  /** Lists what targets say of themselves, for gossip. */
  reportStatements(): StatementReport[] {
    return this.statements.report(this.parts.clock.nowMs());
  }

  /**
   * Applies what another host reports about statements of targets.
   *
   * @param from - Name of the host.
   * @param reports - Its reports.
   * @param composedAtMs - Time on the process's clock before which they were not composed, in milliseconds.
   */
  applyStatements(
    from: string,
    reports: readonly StatementReport[],
    composedAtMs: number,
  ): void {
    this.statements.merge(reports, from, composedAtMs);
    for (const {target: id, bornMs, leaving} of reports) {
      const target = this.members.get(id)?.target;
      if (!leaving || target?.entry.bornMs !== bornMs) continue;
      target.departure.recordAnnounced(this.parts.clock.nowMs());
    }
  }

  /**
   * Records that a target has processed a prompt.
   *
   * @param target - Target of the request.
   * @param tokens - Number of prompt tokens.
   */
  recordPromptRead(target: PooledTarget, tokens: number): void {
    target.localPendingTokens = Math.max(0, target.localPendingTokens - tokens);
  }

  /**
   * Checks, once the connection is open, whether a request may still be sent: the view of the targets may have changed,
   * or become too old, since the target was chosen.
   *
   * @param target - Target whose slot was taken.
   */
  maySend(target: PooledTarget): boolean {
    const {clock, isViewCurrent, onSend, state} = this.parts;
    const {entry} = target;
    const nowMs = clock.nowMs();
    if (!target.accepts(nowMs)) return false;
    if (!isViewCurrent() || !state.allows(entry)) return false;
    this.cold.check(target, coldSources.entry, nowMs);
    if (!this.candidates.takeSend(target, nowMs)) return false;
    onSend(entry);
    return true;
  }

  /**
   * Looks up the connection pool of a target.
   *
   * @param target - Target whose slot was taken.
   * @returns The connection pool.
   */
  connections(target: PooledTarget): TargetConnectionPool {
    const member = this.members.get(target.entry.id);
    // A target that was removed after its slot was taken gets a pool for this one request.
    return (
      member?.connections ??
      new TargetConnectionPool(target.entry.address, this.parts.onConnect)
    );
  }

  /**
   * Computes this host's equal share of a service's slots; see {@link slotShare}.
   *
   * @param service - Name of the service.
   * @param costMs - Mean time for which a request occupies a slot, in milliseconds.
   * @returns Number of slots, possibly fractional.
   */
  localSlotShare(service: string, costMs: number): number {
    return slotShare(this.targets(service), this.parts.hosts().length, costMs);
  }

  /**
   * Sums up load and slots of a service.
   *
   * @param service - Name of the service.
   */
  occupancy(service: string): Occupancy {
    return sumOccupancy(this.targets(service), this.parts.clock.nowMs());
  }

  /**
   * Counts the open requests of all hosts at targets of a service that run other versions.
   *
   * @param service - Name of the service.
   * @param version - Version whose targets are excluded.
   * @returns Number of requests.
   */
  loadOnOtherVersions(service: string, version: string): number {
    let load = 0;
    for (const target of this.targets(service)) {
      if (target.entry.version !== version) load += target.hostReportedLoad;
    }
    return load;
  }

  /**
   * Lists the targets of a service, including those that are leaving.
   *
   * @param service - Name of the service.
   */
  *targets(service: string): Generator<PooledTarget> {
    for (const {target} of this.byService.get(service) ?? []) yield target;
  }

  private eligible(request: SlotRequest, nowMs: number) {
    const members = this.byService.get(request.service) ?? [];
    return this.candidates.eligible(members, request, nowMs);
  }
}
