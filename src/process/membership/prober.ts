import type {LinkKind} from './link-choice.js';
import {timing} from './timing.js';

interface ProbedLink {
  kind: LinkKind;
  nextAtMs: number;
  sequence: number;
  /** Timeout of the current phase, as monotonic time; 0 before the first ping. */
  deadlineMs: number;
  phase: 'idle' | 'direct' | 'indirect';
  /** Consecutive missed acks of a member in another zone. */
  misses: number;
}

/** Action that is due for a probed member. */
export type ProbeStep = {
  readonly id: string;
  readonly sequence: number;
  readonly kind: 'ping' | 'indirect' | 'failed';
};

/** Probe intervals in milliseconds. */
const intervals: Record<LinkKind, number> = {
  ring: timing.ringIntervalMs,
  chord: timing.chordIntervalMs,
  cross: timing.crossIntervalMs,
};

/** Schedules the probes of the links and detects missed acks. */
export class Prober {
  private readonly links = new Map<string, ProbedLink>();
  /** End of the avoidance of members in other zones, by id; monotonic time in milliseconds. */
  private readonly avoidedUntil = new Map<string, number>();
  private sequence = 0;

  /** Ids of the probed members. */
  get ids(): readonly string[] {
    return [...this.links.keys()];
  }

  /**
   * Replaces the set of links; probes in progress on kept links continue.
   *
   * @param links - Kind by member id.
   * @param nowMs - Monotonic time in milliseconds.
   * @param random - Returns numbers from 0 to 1; spreads the first probes over the interval.
   */
  setLinks(
    links: ReadonlyMap<string, LinkKind>,
    nowMs: number,
    random: () => number,
  ): void {
    for (const id of this.links.keys()) {
      if (!links.has(id)) this.links.delete(id);
    }
    for (const [id, kind] of links) {
      const known = this.links.get(id);
      const nextAtMs = nowMs + random() * intervals[kind];
      if (known?.kind === kind) continue;
      this.links.set(id, {
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
   * Checks whether a member of another zone missed too many acks recently.
   *
   * @param id - Id of the member.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns True if another member is preferred.
   */
  isAvoided(id: string, nowMs: number): boolean {
    const untilMs = this.avoidedUntil.get(id);
    if (untilMs === undefined) return false;
    if (untilMs <= nowMs) this.avoidedUntil.delete(id);
    return untilMs > nowMs;
  }

  /** @returns A new sequence number. */
  newSequence(): number {
    return ++this.sequence;
  }

  /**
   * Completes the probe of a member.
   *
   * @param id - Id of the member that acked, directly or through an intermediate.
   * @param sequence - Sequence number of the ack; acks of earlier probes are ignored.
   */
  acked(id: string, sequence: number): void {
    const link = this.links.get(id);
    if (!link) return;
    if (link.sequence !== sequence) return;
    link.phase = 'idle';
    link.misses = 0;
  }

  /**
   * Extends all deadlines by the length of a pause of this host.
   *
   * @param byMs - Length of the pause in milliseconds.
   */
  shift(byMs: number): void {
    for (const link of this.links.values()) link.deadlineMs += byMs;
  }

  /**
   * Advances the probes and lists the actions that are due. Only members of the same zone are
   * probed indirectly and can fail: the hosts of a zone decide whether a member of it is alive.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Actions in the order of the links.
   */
  due(nowMs: number): ProbeStep[] {
    const steps: ProbeStep[] = [];
    for (const [id, link] of this.links) {
      if (link.phase !== 'idle' && nowMs >= link.deadlineMs) {
        const {sequence} = link;
        if (link.kind === 'cross') {
          link.phase = 'idle';
          if (++link.misses >= timing.crossMisses) {
            link.misses = 0;
            this.avoidedUntil.set(id, nowMs + timing.avoidMs);
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
        link.sequence = this.newSequence();
        link.phase = 'direct';
        link.nextAtMs = nowMs + intervals[link.kind];
        // An ack from another region takes longer, and a missing one has no urgent consequence.
        link.deadlineMs =
          link.kind === 'cross' ? link.nextAtMs : nowMs + timing.ackTimeoutMs;
        steps.push({id, sequence: link.sequence, kind: 'ping'});
      }
    }
    return steps;
  }
}
