import {tierCount} from '../../version/resources/kinds.js';
import type {RefusalReason} from '../refusals.js';
import {DecisionList} from './decision-list.js';
import {DeadlineEstimate} from './deadline-estimate.js';
import {
  checkGrant,
  checkPreemption,
  ThrowingInvariantSink,
  type InvariantSink,
} from './invariants.js';
import {LengthEstimates} from './length-estimates.js';
import {
  OrganisationLimits,
  type OrganisationLimit,
} from './organisation-limits.js';
import {OutcomeLearner} from './outcome-learner.js';
import {newPermitState, PermitTable, type Permit} from './permit.js';
import {preemptFor} from './preemption.js';
import {PrefixIndex} from './prefix-index.js';
import {ReleaseRate} from './release-rate.js';
import {RequestQueue} from './request-queue.js';
import {
  defaultSchedulerConfig,
  type SchedulerConfig,
} from './scheduler-config.js';
import {ServiceRate} from './service-rate.js';
import type {Choice} from './target-choice.js';
import {TargetTable} from './target-table.js';
import {TierPlacement} from './tier-placement.js';
import type {
  AttemptOutcome,
  CacheEvent,
  Decision,
  LoadReport,
  OutstandingPermit,
  QueuedRequest,
  TargetView,
  VersionCap,
} from './types.js';
import {VersionCaps} from './version-caps.js';
import type {WaitingRequest} from './waiting-request.js';

/**
 * Decides when and on which target each request of a target group runs. It is deterministic: it
 * uses no clock, timer or random number, and each method returns the decisions for its input.
 */
export class GroupScheduler {
  private readonly cfg: SchedulerConfig;
  private readonly queue: RequestQueue;
  private readonly permits = new PermitTable();
  private readonly prefixes = new PrefixIndex();
  private readonly targets: TargetTable;
  private readonly caps = new VersionCaps();
  private readonly organisations = new OrganisationLimits();
  private readonly lengths = new LengthEstimates();
  private readonly rate = new ServiceRate();
  private readonly releases = new ReleaseRate();
  private readonly learner: OutcomeLearner;
  private readonly deadlines: DeadlineEstimate;
  private readonly placement: TierPlacement;
  private sequence = 0;
  private readonly decisions = new DecisionList();

  /**
   * @param cfg - Settings that differ from {@link defaultSchedulerConfig}.
   * @param invariants - Receives violations of the scheduler's invariants.
   */
  constructor(
    cfg: Partial<SchedulerConfig> = {},
    private readonly invariants: InvariantSink = new ThrowingInvariantSink(),
  ) {
    this.cfg = {...defaultSchedulerConfig, ...cfg};
    this.queue = new RequestQueue(this.cfg);
    this.targets = new TargetTable(
      this.cfg,
      this.prefixes,
      this.cfg.recovering,
    );
    this.deadlines = new DeadlineEstimate(
      this.queue,
      this.permits,
      this.targets,
      this.rate,
      this.lengths,
      this.cfg.firstTokenTargetMs,
    );
    this.placement = new TierPlacement({
      firstTokenTargetMs: this.cfg.firstTokenTargetMs,
      queue: this.queue,
      targets: this.targets,
      prefixes: this.prefixes,
      caps: this.caps,
      lengths: this.lengths,
      deadlines: this.deadlines,
      grant: (item, choice, nowMs) => this.grant(item, choice, nowMs),
      refuse: item => this.refuse(item, 'deadline-unreachable'),
    });
    this.learner = new OutcomeLearner(this.cfg, this.prefixes);
  }

  /** Number of waiting requests. */
  get waiting(): number {
    return this.queue.size;
  }

  /** Number of outstanding permits. */
  get outstanding(): number {
    return this.permits.size;
  }

  /** Number of permits that could be granted now. */
  get freeSlots(): number {
    return this.targets.freeSlots;
  }

  /**
   * Returns the current concurrency limit of each target.
   *
   * @returns Limits over all hosts, in requests, by target name.
   */
  limits(): ReadonlyMap<string, number> {
    return this.targets.limits();
  }

  /** Replaces the targets of the group; those already known keep their state. */
  setTargets(targets: readonly TargetView[], nowMs: number): Decision[] {
    this.targets.set(targets, nowMs);
    return this.decide(nowMs);
  }

  /** Sets the share of the limits that the followers contribute, 0 to 1. */
  setShare(share: number, nowMs: number): Decision[] {
    this.targets.setShare(share, nowMs);
    return this.decide(nowMs);
  }

  /** Lifts the cold limits of a new owner once all outstanding permits are known. */
  recovered(nowMs: number): Decision[] {
    this.permits.raiseProvenLimits();
    this.targets.recovered(nowMs);
    return this.decide(nowMs);
  }

  /** Replaces the caps of versions under rollout. */
  setVersionCaps(caps: readonly VersionCap[], nowMs: number): Decision[] {
    this.caps.set(caps);
    return this.decide(nowMs);
  }

  /** Replaces the limits of organisations, already scaled to this owner's share. */
  setOrganisationLimits(limits: ReadonlyMap<string, OrganisationLimit>): void {
    this.organisations.set(limits);
  }

  /** Queues a request or refuses it. */
  offer(req: QueuedRequest, nowMs: number): Decision[] {
    const retry = req.attempt > 0;
    const limited = this.organisations.admit(req.organisation, retry, nowMs);
    if (limited) {
      this.decisions.refuse(req.id, limited);
      return this.decisions.take();
    }
    const expectedTokens = this.lengths.mean(req);
    const item: WaitingRequest = {
      request: req,
      offeredMs: nowMs,
      deferrals: 0,
      deadlineMs: nowMs + req.timeoutMs,
      expectedTokens,
      cost: req.promptTokens + expectedTokens,
    };
    if (!this.targets.anyUsable) this.refuse(item, 'no-target');
    else if (!this.deadlines.canMeet(item, nowMs)) {
      this.refuse(item, 'deadline-unreachable');
    } else {
      // A preemption will free a slot, so a top-tier request is accepted even if the queue is full.
      const mustAccept = req.tier === 0 && this.permits.hasVictim(0);
      const {accepted, displaced} = this.queue.offer(item, mustAccept);
      if (!accepted) this.refuse(item, 'queue-full');
      if (displaced) {
        const lower = displaced.request.tier > req.tier;
        this.refuse(displaced, lower ? 'shed' : 'queue-full');
      }
    }
    return this.decide(nowMs);
  }

  /** Removes a waiting request whose caller disconnected; a running one ends with `complete`. */
  cancel(requestId: string, nowMs: number): Decision[] {
    const item = this.queue.get(requestId);
    if (!item) return [];
    this.queue.remove(item);
    this.organisations.ended(item.request.organisation);
    return this.decide(nowMs);
  }

  /** Applies a progress report of a running attempt. */
  progress(
    permitId: string,
    tokens: number,
    firstTokenMs: number | undefined,
    nowMs: number,
  ): Decision[] {
    const permit = this.permits.get(permitId);
    if (!permit) return [];
    this.learner.progress(permit, tokens, firstTokenMs, nowMs);
    this.permits.moved(permit);
    this.targets.refresh(permit.target, nowMs);
    return this.decide(nowMs);
  }

  /** Records that a follower declined a preemption, and selects another victim at once. */
  declined(permitId: string, nowMs: number): Decision[] {
    const permit = this.permits.get(permitId);
    if (!permit?.preempted) return [];
    this.permits.declined(permit);
    return this.decide(nowMs);
  }

  /** Releases a permit after its attempt ended; its slot is not free before. */
  complete(
    permitId: string,
    outcome: AttemptOutcome,
    nowMs: number,
  ): Decision[] {
    const permit = this.permits.get(permitId);
    if (!permit) return [];
    const {request, target} = permit;
    this.learner.completed(permit, outcome, nowMs);
    this.permits.remove(permit);
    this.releases.released(nowMs);
    target.inFlight--;
    if (permit.preempted) target.preempting--;
    this.caps.released(permit.version);
    this.organisations.ended(request.organisation);
    if (outcome.result === 'ok') {
      const cost = request.promptTokens + outcome.tokens;
      this.lengths.learn(request, outcome.tokens);
      this.rate.completed(cost, outcome.totalMs);
    }
    // A request that never started is charged nothing, one that ended early only the work done.
    const ran = permit.firstTokenMs !== undefined || outcome.tokens > 0;
    const used = ran ? request.promptTokens + outcome.tokens : 0;
    this.queue.tiers[request.tier].adjustCharge(
      request.organisation,
      used - permit.cost,
    );
    this.targets.refresh(target, nowMs);
    return this.decide(nowMs);
  }

  /** Adopts a permit that an earlier owner granted. */
  adopt(permit: OutstandingPermit, nowMs: number): Decision[] {
    if (this.permits.get(permit.permitId)) return [];
    const {request} = permit;
    const target = this.targets.adopt(permit.target, request.service);
    this.caps.adopted(target.view.version);
    this.organisations.adopted(request.organisation, nowMs);
    this.addPermit({
      id: permit.permitId,
      request,
      target,
      version: target.view.version,
      grantedMs: nowMs - permit.ageMs,
      cost: request.promptTokens + permit.tokens,
      promptWork: request.promptTokens,
      uncachedTokens: request.promptTokens,
      ...newPermitState(nowMs),
      tokens: permit.tokens,
      firstTokenMs: permit.tokens > 0 ? permit.ageMs : undefined,
    });
    this.targets.refresh(target, nowMs);
    return this.decide(nowMs);
  }

  /** Applies a load report of a target. */
  loadReport(target: string, report: LoadReport, nowMs: number): Decision[] {
    const state = this.targets.get(target);
    if (!state) return [];
    this.learner.loadReport(state, report, nowMs);
    this.targets.refresh(state, nowMs);
    return this.decide(nowMs);
  }

  /** Applies a change of a target's prefix cache. */
  cacheEvent(target: string, event: CacheEvent, nowMs: number): Decision[] {
    if (this.targets.get(target)) this.prefixes.event(target, event);
    return this.decide(nowMs);
  }

  /** Handles what depends on time alone; must be called at least ten times a second. */
  tick(nowMs: number): Decision[] {
    for (const item of this.queue.expired(nowMs)) {
      this.refuse(item, 'deadline-exceeded-waiting');
    }
    for (const permit of this.permits.values()) {
      const stalled = this.learner.checkStalled(permit, nowMs);
      const {preempted, declined, request} = permit;
      if (stalled && request.idempotent && !preempted && !declined) {
        this.permits.preempt(permit, undefined);
        this.notifyPreempted(permit);
      }
    }
    this.targets.refreshAll(nowMs);
    if (!this.targets.anyUsable) {
      for (const item of this.queue.drain()) this.refuse(item, 'no-target');
    }
    return this.decide(nowMs);
  }

  private decide(nowMs: number): Decision[] {
    if (this.queue.size > 0) {
      let reserved = 0;
      for (let tier = 0; tier < tierCount; tier++) {
        reserved += this.serve(tier, reserved, nowMs);
      }
    }
    return this.decisions.take();
  }

  /** Grants a tier's requests while free targets can run them, then preempts lower tiers. */
  private serve(tier: number, reserved: number, nowMs: number): number {
    const deferred = this.placement.serve(tier, reserved, nowMs);
    const queue = this.queue.tiers[tier];
    const head = queue.peek();
    if (!head) return deferred;
    const expected = this.releases.expectedBeforePreemption(
      head,
      this.cfg.firstTokenTargetMs,
      nowMs,
    );
    const victims = preemptFor(this.permits, {
      tier,
      waiting: this.queue.sizeUpTo(tier) - reserved - deferred - expected,
      atRisk: () => (tier === 0 ? this.deadlines.topTierAtRisk(nowMs) : 0),
      useful: ({target}) =>
        this.targets.wouldFreeSlot(target, nowMs) &&
        this.caps.allows(target.view.version) &&
        this.placement.couldRun(head, target, nowMs),
    });
    for (const {permit, force} of victims) this.notifyPreempted(permit, force);
    return deferred;
  }

  private grant(item: WaitingRequest, choice: Choice, nowMs: number): void {
    const {request} = item;
    const {target, cachedTokens} = choice;
    const id = `${this.cfg.owner}-${++this.sequence}`;
    checkGrant(this.invariants, {
      permitId: id,
      target: target.view.name,
      inFlight: target.inFlight,
      allowed: this.targets.allowed(target),
      usable: target.view.usable && this.caps.allows(target.view.version),
      duplicate: this.permits.get(id) !== undefined,
    });
    const uncachedTokens = request.promptTokens - cachedTokens;
    target.sent(request.route);
    const permit: Permit = {
      id,
      request,
      target,
      version: target.view.version,
      grantedMs: nowMs,
      cost: item.cost,
      promptWork: uncachedTokens + target.pendingPrompt,
      uncachedTokens,
      ...newPermitState(nowMs),
    };
    this.addPermit(permit);
    this.caps.granted(target.view.version);
    this.rate.recordGrant(request.tier, item.cost);
    this.prefixes.sent(target.view.name, request.prefixes);
    this.targets.refresh(target, nowMs);
    this.decisions.grant(permit, cachedTokens);
  }

  private addPermit(permit: Permit): void {
    this.permits.add(permit);
    permit.target.inFlight++;
    if (permit.firstTokenMs === undefined) {
      permit.target.pendingPrompt += permit.uncachedTokens;
    }
  }

  private notifyPreempted(permit: Permit, force = false): void {
    checkPreemption(this.invariants, permit);
    this.decisions.preempt(permit, force);
  }

  private refuse(item: WaitingRequest, reason: RefusalReason): void {
    const {request} = item;
    this.organisations.ended(request.organisation);
    this.decisions.refuse(request.id, reason);
  }
}
