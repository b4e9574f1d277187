import type {DeadlineEstimate} from './deadline-estimate.js';
import type {LengthEstimates} from './length-estimates.js';
import type {PrefixIndex} from './prefix-index.js';
import type {RequestQueue} from './request-queue.js';
import {chooseTarget, type Choice} from './target-choice.js';
import type {TargetState} from './target-state.js';
import type {TargetTable} from './target-table.js';
import type {VersionCaps} from './version-caps.js';
import type {WaitingRequest} from './waiting-request.js';

/** Maximum requests skipped in one decision; 24 triples the work without more prefix hits. */
const maxSkipped = 8;
/** Maximum number of deferrals of a request because a busy target holds its prefix. */
const maxDeferrals = 16;
/** Cached prompt tokens from which a request is deferred for a busy target; about one block. */
const minLostTokens = 256;

/** Share of the first-token target for which a top-tier request is deferred for its prefix. */
const topTierDeferralShare = 0.1;
/** Share of the time limit for which others are deferred, at most the first-token target. */
const lowerTierDeferralShare = 0.02;

/** Components and callbacks of the scheduler that placement uses. */
export interface PlacementParts {
  readonly firstTokenTargetMs: number;
  readonly queue: RequestQueue;
  readonly targets: TargetTable;
  readonly prefixes: PrefixIndex;
  readonly caps: VersionCaps;
  readonly lengths: LengthEstimates;
  readonly deadlines: DeadlineEstimate;
  /** Grants a permit to a request that was taken from the queue. */
  readonly grant: (item: WaitingRequest, choice: Choice, nowMs: number) => void;
  /** Refuses a request that was removed because its deadline cannot be met. */
  readonly refuse: (item: WaitingRequest) => void;
}

/** Assigns free slots to the waiting requests of one tier. */
export class TierPlacement {
  /** Requests of the current tier that are deferred although a slot is free. */
  private held = 0;

  /**
   * @param parts - Components and callbacks of the scheduler.
   */
  constructor(private readonly parts: PlacementParts) {}

  /**
   * Grants permits while free targets can run the tier's requests.
   *
   * @param tier - Tier to serve.
   * @param reserved - Free slots that deferred requests of higher tiers may still use.
   * @param nowMs - Current time.
   * @returns Number of this tier's requests that are deferred although a slot is free for them.
   */
  serve(tier: number, reserved: number, nowMs: number): number {
    const {targets, queue} = this.parts;
    this.held = 0;
    while (targets.free.size > 0 && queue.tiers[tier].size > 0) {
      if (reserved > 0 && targets.freeSlots <= reserved) return 0;
      if (!this.serveBatch(tier, nowMs)) break;
    }
    return this.held;
  }

  /** Tries to place the next requests of a tier; returns whether one got a permit. */
  private serveBatch(tier: number, nowMs: number): boolean {
    const queue = this.parts.queue.tiers[tier];
    const skipped: WaitingRequest[] = [];
    const deferred: {item: WaitingRequest; lostTokens: number}[] = [];
    let granted = false;
    this.held = 0;
    while (this.parts.targets.free.size > 0 && skipped.length < maxSkipped) {
      const item = queue.peek();
      if (!item) break;
      if (this.isStillDeferred(item, nowMs)) {
        this.held++;
        queue.remove(item);
        skipped.push(item);
        continue;
      }
      const choice = this.choose(item, nowMs);
      const leftMs = item.deadlineMs - nowMs;
      if (choice && choice.completionMs <= leftMs) {
        const {lostTokens} = choice;
        if (lostTokens < minLostTokens || item.deferrals >= maxDeferrals) {
          this.parts.queue.take(item);
          this.parts.grant(item, choice, nowMs);
          granted = true;
          continue;
        }
        item.deferredFor = choice.busyHolders;
        deferred.push({item, lostTokens});
      } else if (choice && this.shouldRefuse(item, leftMs)) {
        this.parts.queue.remove(item);
        this.parts.refuse(item);
        continue;
      }
      // A target that is busy now may meet the deadline or hold the prefix of the prompt.
      queue.remove(item);
      skipped.push(item);
    }
    for (const item of skipped) queue.push(item);
    return this.placeDeferred(deferred, nowMs) || granted;
  }

  /** Whether none of the targets a request is deferred for is free; its choice is unchanged. */
  private isStillDeferred(item: WaitingRequest, nowMs: number): boolean {
    const {deferredFor} = item;
    if (!deferredFor || nowMs - item.offeredMs >= this.maxDeferralMs(item))
      return false;
    const {free} = this.parts.targets;
    return !deferredFor.some(target => free.has(target));
  }

  /** Whether to refuse a request because no target can meet its deadline. */
  private shouldRefuse(item: WaitingRequest, leftMs: number): boolean {
    const {deadlines} = this.parts;
    return (
      deadlines.typicalMs(item) > leftMs &&
      deadlines.mayRefuse(item.request.tier)
    );
  }

  /**
   * Maximum time to defer a request for a busy target that holds its prefix. An idle slot costs a
   * small share of a batch, but prompt processing delays everything that runs on its target.
   */
  private maxDeferralMs(item: WaitingRequest): number {
    const {firstTokenTargetMs} = this.parts;
    return item.request.tier === 0
      ? topTierDeferralShare * firstTokenTargetMs
      : Math.min(
          firstTokenTargetMs,
          lowerTierDeferralShare * item.request.timeoutMs,
        );
  }

  /**
   * Grants deferred requests whose deferral time is over, fewest lost cached tokens first, so that
   * no slot stays idle for long.
   */
  private placeDeferred(
    candidates: {item: WaitingRequest; lostTokens: number}[],
    nowMs: number,
  ): boolean {
    candidates.sort((a, b) => a.lostTokens - b.lostTokens);
    let granted = false;
    for (const {item} of candidates) {
      if (nowMs - item.offeredMs < this.maxDeferralMs(item)) {
        this.held++;
        continue;
      }
      const choice =
        this.parts.targets.free.size > 0 ? this.choose(item, nowMs) : undefined;
      if (choice && choice.completionMs <= item.deadlineMs - nowMs) {
        this.parts.queue.take(item);
        this.parts.grant(item, choice, nowMs);
        granted = true;
      } else {
        item.deferrals++;
      }
    }
    return granted;
  }

  /**
   * Whether a request could be placed at a target once it has a free slot. A slot preempted for a
   * request that cannot use it would go to lower tiers again.
   *
   * @param item - Waiting request.
   * @param target - Target without a free slot.
   * @param nowMs - Current time.
   */
  couldRun(item: WaitingRequest, target: TargetState, nowMs: number): boolean {
    const {route, avoid, promptTokens} = item.request;
    const {lengths, targets} = this.parts;
    if (!target.admits(route, nowMs)) return false;
    if (avoid.includes(target.view.name) && targets.anyUsableExcept(avoid)) {
      return false;
    }
    const completionMs = target.completionMs(
      promptTokens,
      lengths.typical(item.request),
      target.inFlight - 1,
    );
    return completionMs <= item.deadlineMs - nowMs;
  }

  private choose(item: WaitingRequest, nowMs: number): Choice | undefined {
    const req = item.request;
    return chooseTarget(req, {
      targets: this.parts.targets,
      prefixes: this.parts.prefixes,
      caps: this.parts.caps,
      outputTokens: this.parts.lengths.typical(req),
      othersExist:
        req.avoid.length > 0 && this.parts.targets.anyUsableExcept(req.avoid),
      nowMs,
    });
  }
}
