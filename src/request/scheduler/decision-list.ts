import type {RefusalReason} from '../refusals.js';
import type {Permit} from './permit.js';
import type {Decision} from './types.js';

/** Time after which callers are advised to retry a refused request, in milliseconds. */
const retryAfterMs = 1000;

/** Collects the decisions that result from one input. */
export class DecisionList {
  private items: Decision[] = [];

  /** Adds a grant. */
  grant(permit: Permit, cachedTokens: number): void {
    this.items.push({
      kind: 'grant',
      requestId: permit.request.id,
      permitId: permit.id,
      target: permit.target.view,
      cachedTokens,
    });
  }

  /** Adds a refusal. */
  refuse(requestId: string, reason: RefusalReason): void {
    this.items.push({kind: 'refuse', requestId, reason, retryAfterMs});
  }

  /** Adds a preemption. */
  preempt({id, request}: Permit, force: boolean): void {
    const requestId = request.id;
    this.items.push({kind: 'preempt', permitId: id, requestId, force});
  }

  /** Removes and returns all decisions. */
  take(): Decision[] {
    const {items} = this;
    this.items = [];
    return items;
  }
}
