import type {LinkKind} from './link-choice.js';
import {timing} from './timing.js';

interface Probed {
  kind: LinkKind;
  nextAtMs: number;
  sequence: number;
  /** End of the current wait; 0 if no ack is awaited. */
  deadlineMs: number;
  phase: 'idle' | 'direct' | 'indirect';
  misses: number;
}

/** What has to happen to a probed member. */
export type ProbeStep = {
  readonly id: string;
  readonly sequence: number;
  readonly kind: 'ping' | 'indirect' | 'failed';
};

const intervals: Record<LinkKind, number> = {
  ring: timing.ringIntervalMs,
  chord: timing.chordIntervalMs,
  cross: timing.crossIntervalMs,
};

/** Schedules the probes of the links and counts missed acks. */
export class Prober {
  private readonly probed = new Map<string, Probed>();
  private readonly avoided = new Map<string, number>();
  private sequence = 0;

  /** Ids of the probed members. */
  get ids(): readonly string[] {
    return [...this.probed.keys()];
  }

  /**
   * Replaces the set of links; probes under way on kept links go on.
   *
   * @param links - Kind by member id.
   * @param nowMs - Monotonic time in milliseconds.
   * @param random - Source of numbers from 0 to 1, spreads the first probes.
   */
  setLinks(
    links: ReadonlyMap<string, LinkKind>,
    nowMs: number,
    random: () => number,
  ): void {
    for (const id of this.probed.keys()) {
      if (!links.has(id)) this.probed.delete(id);
    }
    for (const [id, kind] of links) {
      const known = this.probed.get(id);
      const nextAtMs = nowMs + random() * intervals[kind];
      if (known?.kind === kind) continue;
      this.probed.set(id, {
        kind,
        nextAtMs: Math.min(known?.nextAtMs ?? Infinity, nextAtMs),
        sequence: known?.sequence ?? 0,
        deadlineMs: known?.deadlineMs ?? 0,
        phase: known?.phase ?? 'idle',
        misses: known?.misses ?? 0,
      });
    }
  }

  /**
   * Tells whether a target in another zone failed recently.
   *
   * @param id - Id of the member.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns True if another target is preferred.
   */
  isAvoided(id: string, nowMs: number): boolean {
    const untilMs = this.avoided.get(id);
    if (untilMs === undefined) return false;
    if (untilMs <= nowMs) this.avoided.delete(id);
    return untilMs > nowMs;
  }

  /** @returns A new sequence number. */
  nextSequence(): number {
    return ++this.sequence;
  }

  /**
   * Ends the wait for a member that answered.
   *
   * @param id - Id of the member.
   * @param sequence - Sequence number of the ack.
   */
  acked(id: string, sequence: number): void {
    const link = this.probed.get(id);
    if (!link) return;
    if (link.sequence !== sequence) return;
    link.phase = 'idle';
    link.misses = 0;
  }

  /**
   * Moves all deadlines by the length of a pause of this host.
   *
   * @param byMs - Length in milliseconds.
   */
  shift(byMs: number): void {
    for (const link of this.probed.values()) link.deadlineMs += byMs;
  }

  /**
   * Finds what is due. Only members of the same zone are probed indirectly and can fail: whether
   * a member of another zone lives is for its own zone to say.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Steps in the order of the links.
   */
  due(nowMs: number): ProbeStep[] {
    const steps: ProbeStep[] = [];
    for (const [id, link] of this.probed) {
      if (link.phase !== 'idle' && nowMs >= link.deadlineMs) {
        const {sequence} = link;
        if (link.kind === 'cross') {
          link.phase = 'idle';
          if (++link.misses >= timing.crossMisses) {
            link.misses = 0;
            this.avoided.set(id, nowMs + timing.avoidMs);
          }
        } else if (link.phase === 'direct') {
          link.phase = 'indirect';
          link.deadlineMs = nowMs + timing.indirectTimeoutMs;
          steps.push({id, sequence, kind: 'indirect'});
        } else {
          link.phase = 'idle';
          steps.push({id, sequence, kind: 'failed'});
        }
      }
      if (nowMs >= link.nextAtMs && link.phase === 'idle') {
        link.sequence = this.nextSequence();
        link.phase = 'direct';
        link.nextAtMs = nowMs + intervals[link.kind];
        // An ack from another region takes longer, and its absence has no urgent consequence.
        link.deadlineMs =
          link.kind === 'cross' ? link.nextAtMs : nowMs + timing.ackTimeoutMs;
        steps.push({id, sequence: link.sequence, kind: 'ping'});
      }
    }
    return steps;
  }
}
