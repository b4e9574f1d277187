import type {VersionCap} from './types.js';

interface CapState {
  cap: VersionCap;
  /** Grants owed to the version by its share; one grant takes 1. */
  credit: number;
}

/** Limits each capped version to its share of new grants and its number of requests in flight. */
export class VersionCaps {
  private readonly states = new Map<string, CapState>();
  private readonly inFlight = new Map<string, number>();

  /** Replaces all caps; versions without one are not limited. */
  set(caps: readonly VersionCap[]): void {
    const kept = new Set(caps.map(cap => cap.version));
    for (const version of this.states.keys()) {
      if (!kept.has(version)) this.states.delete(version);
    }
    for (const cap of caps) {
      const state = this.states.get(cap.version);
      if (state) state.cap = cap;
      else this.states.set(cap.version, {cap, credit: 0});
    }
  }

  /** Whether one more permit for the version stays within its cap. */
  allows(version: string): boolean {
    const state = this.states.get(version);
    if (!state) return true;
    const {share, inFlight} = state.cap;
    if (share <= 0 || (this.inFlight.get(version) ?? 0) >= inFlight) {
      return false;
    }
    return share >= 1 || state.credit >= 1 - 1e-9;
  }

  /** Versions that may get no permit now; undefined if there is none. */
  exhausted(): Set<string> | undefined {
    let found: Set<string> | undefined;
    for (const version of this.states.keys()) {
      if (this.allows(version)) continue;
      found ??= new Set();
      found.add(version);
    }
    return found;
  }

  /** Version that has had less than its share of the grants and goes first, if there is one. */
  preferred(): string | undefined {
    for (const [version, {cap}] of this.states) {
      if (cap.share > 0 && cap.share < 1 && this.allows(version))
        return version;
    }
    return undefined;
  }

  /** Counts a new grant. */
  granted(version: string): void {
    for (const state of this.states.values()) {
      if (state.cap.version === version) state.credit -= 1;
      // At most one grant plus the share of one: with less, shares above 0.5 are not reached;
      // with more, a canary would get a burst of requests after an idle period.
      const {share} = state.cap;
      state.credit = Math.min(1 + share, state.credit + share);
    }
    this.adopted(version);
  }

  /** Counts a permit that an earlier owner granted. */
  adopted(version: string): void {
    this.inFlight.set(version, (this.inFlight.get(version) ?? 0) + 1);
  }

  /** Counts the end of a permit. */
  released(version: string): void {
    const left = (this.inFlight.get(version) ?? 0) - 1;
    if (left > 0) this.inFlight.set(version, left);
    else this.inFlight.delete(version);
  }
}
