import type {PrefixIndex} from './prefix-index.js';
import type {SchedulerConfig} from './scheduler-config.js';
import {TargetRates} from './target-rates.js';
import {TargetState} from './target-state.js';
import type {TargetView} from './types.js';

/** Targets of a group, the set of free ones, and the totals of their slots. */
export class TargetTable {
  /** Targets that may get another request now. */
  readonly free = new Set<TargetState>();
  /** Learnt rates over all targets. */
  readonly groupRates: TargetRates;
  private readonly states = new Map<string, TargetState>();
  private readonly hardwareRates = new Map<string, TargetRates>();
  private warmTotal = 0;
  private freeTotal = 0;
  private share = 1;

  /**
   * @param cfg - Settings of the group.
   * @param prefixes - Prefix index, from which removed targets are deleted.
   * @param recovering - Whether outstanding permits of an earlier owner may still be unknown.
   */
  constructor(
    cfg: SchedulerConfig,
    private readonly prefixes: PrefixIndex,
    private recovering: boolean,
  ) {
    // The initial rates are optimistic, so that untried targets are tried.
    this.groupRates = new TargetRates(
      undefined,
      cfg.firstTokenTargetMs / 10_000,
      cfg.tokenTargetMs / 150,
    );
  }

  /** Number of permits that this owner may have outstanding once cold limits have risen. */
  get warmSlots(): number {
    return this.warmTotal;
  }

  /** Number of permits that could be granted now. */
  get freeSlots(): number {
    return this.freeTotal;
  }

  /** Returns the current limit of each target over all hosts, in requests, by target name. */
  limits(): ReadonlyMap<string, number> {
    const limits = new Map<string, number>();
    for (const [name, state] of this.states) {
      limits.set(name, state.limit.current);
    }
    return limits;
  }

  /** Whether any target is usable. */
  get anyUsable(): boolean {
    for (const state of this.states.values()) {
      if (state.view.usable) return true;
    }
    return false;
  }

  /** Whether any target other than the named ones is usable. */
  anyUsableExcept(names: readonly string[]): boolean {
    for (const {view} of this.states.values()) {
      if (view.usable && !names.includes(view.name)) return true;
    }
    return false;
  }

  /** Returns a target by its name. */
  get(name: string): TargetState | undefined {
    return this.states.get(name);
  }

  /** All targets. */
  values(): Iterable<TargetState> {
    return this.states.values();
  }

  /** Replaces the targets; those already known keep their learnt state. */
  set(views: readonly TargetView[], nowMs: number): void {
    const names = new Set(views.map(view => view.name));
    for (const [name, state] of this.states) {
      if (names.has(name)) continue;
      state.view = {...state.view, usable: false};
      this.refresh(state, nowMs);
      // A target with outstanding permits is kept, so that they still count if it is added again.
      if (state.inFlight > 0) continue;
      this.states.delete(name);
      this.prefixes.removed(name);
    }
    for (const view of views) this.put(view, nowMs);
  }

  /** Returns a target; an unknown one is added as not usable, for a permit of an earlier owner. */
  adopt(name: string, service: string): TargetState {
    const known = this.states.get(name);
    if (known) return known;
    const state = this.create({
      name,
      service,
      zone: '',
      address: '',
      version: '',
      hardware: '',
      maxConcurrency: 0,
      coldConcurrency: 0,
      usable: false,
    });
    this.states.set(name, state);
    return state;
  }

  /** Changes the share of the limits that applies to this owner, 0 to 1. */
  setShare(share: number, nowMs: number): void {
    this.share = share;
    this.refreshAll(nowMs);
  }

  /** Lifts the cold limits of a new owner. */
  recovered(nowMs: number): void {
    this.recovering = false;
    this.refreshAll(nowMs);
  }

  /** Updates all targets, because their slots also depend on time and on shared rates. */
  refreshAll(nowMs: number): void {
    for (const state of this.states.values()) this.refresh(state, nowMs);
  }

  /** Updates the free set and the totals after a target changed. */
  refresh(state: TargetState, nowMs: number): void {
    state.updateCosts();
    const healthy = state.breaker.allows(nowMs);
    const allowed = this.allowed(state);
    this.warmTotal -= state.warmSlots;
    const counts = healthy || state.inFlight > 0;
    state.warmSlots = counts ? this.warmAllowance(state, allowed) : 0;
    this.warmTotal += state.warmSlots;
    this.freeTotal -= state.freeSlots;
    state.freeSlots = healthy ? Math.max(0, allowed - state.inFlight) : 0;
    this.freeTotal += state.freeSlots;
    if (state.freeSlots > 0) this.free.add(state);
    else this.free.delete(state);
  }

  /** Number of permits that this owner may have outstanding at a target. */
  allowed(state: TargetState): number {
    return state.allowed(this.share, this.recovering);
  }

  /** Whether one more preemption at a target would free a slot for a waiting request. */
  wouldFreeSlot(state: TargetState, nowMs: number): boolean {
    const left = state.inFlight - state.preempting - 1;
    return state.breaker.allows(nowMs) && left < this.allowed(state);
  }

  /** Number of permits that the owner may have outstanding once the target's limit has risen. */
  private warmAllowance({view, limit}: TargetState, allowed: number): number {
    if (!view.usable) return allowed;
    if (this.recovering) return view.maxConcurrency;
    const warm = limit.cold ? view.maxConcurrency * this.share : 0;
    return Math.max(allowed, warm);
  }

  private put(view: TargetView, nowMs: number): void {
    const known = this.states.get(view.name);
    const state = known ?? this.create(view);
    if (known) {
      // A new version or address, or a return to service, means that the process restarted.
      const restarted =
        known.view.version !== view.version ||
        known.view.address !== view.address ||
        (!known.view.usable && view.usable);
      known.view = view;
      known.limit.setBounds(view.coldConcurrency, view.maxConcurrency);
      if (restarted) known.limit.resetToCold();
    }
    this.states.set(view.name, state);
    this.refresh(state, nowMs);
  }

  private create(view: TargetView): TargetState {
    let rates = this.hardwareRates.get(view.hardware);
    if (!rates) {
      rates = new TargetRates(this.groupRates, 0, 0);
      this.hardwareRates.set(view.hardware, rates);
    }
    return new TargetState(view, new TargetRates(rates, 0, 0));
  }
}
