import type {Clock} from '../clock.js';
import {GossipSection, type SectionOrigin} from '../fleet/gossip-section.js';
import {isNumberWithin} from '../number-limits.js';
import type {StatedTerm} from './duty-lease.js';

/** Dependencies of a {@link HolderSection}. */
export interface HolderSectionParts {
  readonly clock: Clock;
  /** Time without a message of the holder after which it counts as unknown, in milliseconds. */
  readonly silenceMs: () => number;
  /** What this host states while it holds the duties. */
  readonly own: () => StatedTerm | undefined;
  /** Called when another host states its term. */
  readonly onHeard: (stated: StatedTerm) => void;
}

/** States to all hosts which one holds the duties, so that they need not read the log. Only the holder sends it. */
export class HolderSection extends GossipSection {
  override readonly name = 'd';
  private heard?: {readonly host: string; readonly atMs: number};
  /** Highest token that was heard; a lower one is of an earlier term. */
  private highest = -1;

  /** @param parts - Dependencies. */
  constructor(private readonly parts: HolderSectionParts) {
    super();
  }

  /** Other host that holds the duties; `undefined` if none was heard for some time. */
  get holder(): string | undefined {
    const {clock, silenceMs} = this.parts;
    if (!this.heard) return undefined;
    const ageMs = clock.nowMs() - this.heard.atMs;
    return ageMs <= silenceMs() ? this.heard.host : undefined;
  }

  override compose(): unknown {
    const own = this.parts.own();
    return own && [own.token, own.end];
  }

  override receive(value: unknown, {host, composedAtMs}: SectionOrigin): void {
    const stated = decodeStated(value);
    if (!stated) {
      if (this.heard?.host === host) this.heard = undefined;
      return;
    }
    if (stated.token < this.highest) return;
    this.highest = stated.token;
    // The first messages of a host state no time.
    const atMs = Number.isFinite(composedAtMs)
      ? composedAtMs
      : this.parts.clock.nowMs();
    this.heard = {host, atMs};
    this.parts.onHeard(stated);
  }
}

function decodeStated(value: unknown): StatedTerm | undefined {
  if (!Array.isArray(value)) return undefined;
  const [token, end] = value as unknown[];
  if (!isNumberWithin(token, Number.MAX_SAFE_INTEGER)) return undefined;
  if (!isNumberWithin(end, Number.MAX_SAFE_INTEGER)) return undefined;
  return {token, end};
}
