import type {PrefixIndex} from './prefix-index.js';
import type {SchedulerConfig} from './scheduler-config.js';
import {TargetRates} from './target-rates.js';
import {TargetState} from './target-state.js';
import type {TargetView} from './types.js';

/** Targets of a group, the free ones among them, and the total of their limits. */
export class TargetTable {
  /** Targets that may get one more request now. */
  readonly free = new Set<TargetState>();
  /** Rates over all targets. */
  readonly groupRates: TargetRates;
  private readonly states = new Map<string, TargetState>();
  private readonly hardwareRates = new Map<string, TargetRates>();
  private warmTotal = 0;
  private freeTotal = 0;
  private share = 1;

  /**
   * @param cfg - Settings of the group.
   * @param prefixes - Index from which targets that leave are removed.
   * @param recovering - Whether outstanding permits may be unknown.
   */
  constructor(
    cfg: SchedulerConfig,
    private readonly prefixes: PrefixIndex,
    private recovering: boolean,
  ) {
    // Optimistic, so that an untried target is tried.
    this.groupRates = new TargetRates(
      undefined,
      cfg.firstTokenTargetMs / 10_000,
      cfg.tokenTargetMs / 150,
    );
  }

  /** Permits that this owner may have outstanding once cold limits have risen. */
  get warmSlots(): number {
    return this.warmTotal;
  }

  /** Permits that could be granted now. */
  get freeSlots(): number {
    return this.freeTotal;
  }

  /** Lists the current limit of each target over all hosts, in requests. */
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

  /** Whether a usable target exists besides the named ones. */
  anyUsableExcept(names: readonly string[]): boolean {
    for (const {view} of this.states.values()) {
      if (view.usable && !names.includes(view.name)) return true;
    }
    return false;
  }

  /** Finds a target. */
  get(name: string): TargetState | undefined {
    return this.states.get(name);
  }

  /** All targets. */
  values(): Iterable<TargetState> {
    return this.states.values();
  }

  /** Replaces the targets; known ones keep what was learnt. */
  set(views: readonly TargetView[], nowMs: number): void {
    const names = new Set(views.map(view => view.name));
    for (const [name, state] of this.states) {
      if (names.has(name)) continue;
      state.view = {...state.view, usable: false};
      this.refresh(state, nowMs);
      // A target with outstanding permits is kept, so that it cannot come back with none.
      if (state.inFlight > 0) continue;
      this.states.delete(name);
      this.prefixes.removed(name);
    }
    for (const view of views) this.put(view, nowMs);
  }

  /** Finds a target, or adds one that is not usable for a permit of an earlier owner. */
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

  /** Changes the part of the limits that applies to this owner. */
  setShare(share: number, nowMs: number): void {
    this.share = share;
    this.refreshAll(nowMs);
  }

  /** Lifts the bound of a new owner. */
  recovered(nowMs: number): void {
    this.recovering = false;
    this.refreshAll(nowMs);
  }

  /** Updates what depends on time and on other targets. */
  refreshAll(nowMs: number): void {
    for (const state of this.states.values()) this.refresh(state, nowMs);
  }

  /** Updates the free set and the total after a target changed. */
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

  /** Permits that this owner may have outstanding at a target. */
  allowed(state: TargetState): number {
    return state.allowed(this.share, this.recovering);
  }

  /** Whether the end of one more permit at a target would give a slot to a waiting request. */
  wouldFreeSlot(state: TargetState, nowMs: number): boolean {
    const left = state.inFlight - state.preempting - 1;
    return state.breaker.allows(nowMs) && left < this.allowed(state);
  }

  /** What the owner may use of a target once its limit and the owner's share have risen. */
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
      // A new version or a return to service means a fresh start of the process.
      const fresh =
        known.view.version !== view.version ||
        known.view.address !== view.address ||
        (!known.view.usable && view.usable);
      known.view = view;
      known.limit.setBounds(view.coldConcurrency, view.maxConcurrency);
      if (fresh) known.limit.resetToCold();
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
