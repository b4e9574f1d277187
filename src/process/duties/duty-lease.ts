import {eraOf, offsetOf} from '../store-position.js';
import type {DutyAppendResult, DutySnapshot} from './duty-log.js';

/** Both clocks at one moment. Time counts as passed if either says so: the monotonic one stands still in a suspended machine. */
export interface TimeReading {
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
  /** Wall-clock time, in milliseconds. */
  readonly wallMs: number;
}

/** Periods of the lease of the duties, in milliseconds. */
export interface LeaseTimes {
  /** Longest time of a call to the platform. */
  readonly callMs: number;
  /** Time after the last append was sent at which no call may be in progress any longer. */
  readonly rightMs: number;
  /** Time after which the holder appends a record in any case. */
  readonly renewMs: number;
  /** Time for which other hosts must see no append before one takes over. */
  readonly takeoverMs: number;
}

/** Longest call, in milliseconds, and largest fraction of the lease that it may take. */
const maxCallMs = 800;
const maxCallShare = 1 / 4;
/** Fraction of the lease that is left after the end of the last call, for bytes on the network. */
const marginShare = 1 / 30;

/**
 * Derives the periods of the lease from the bounds of the deployment.
 *
 * @param leaseMs - Period within which the duties must not go to another host and back, in milliseconds.
 * @param thawMs - Time after a freeze within which calls of the host may still arrive, in milliseconds.
 */
export function leaseTimes(leaseMs: number, thawMs: number): LeaseTimes {
  return {
    callMs: Math.min(maxCallMs, leaseMs * maxCallShare),
    rightMs: leaseMs * (1 - marginShare),
    renewMs: leaseMs * 0.8,
    takeoverMs: leaseMs * 1.5 + thawMs,
  };
}

/** What the holder states to the other hosts. */
export interface StatedTerm {
  /** Fencing number of its term. */
  readonly token: number;
  /** Position at which the log ended after its last append that was acknowledged. */
  readonly end: number;
}

/** What a read of the log means for this host. */
export type LogView =
  /** This host still holds the duties. */
  | 'held'
  /** This host held the duties before the store was restored, and may take a new term at once. */
  | 'renewable'
  /** This host no longer holds the duties. */
  | 'lost'
  /** This host did not hold the duties. */
  | 'not-held';

/** A term of this host. */
interface OwnTerm {
  readonly token: number;
  readonly nonce: string;
  /** Position at which the log ended after the last append of this host. */
  end: number;
  /** When the last append that was acknowledged was sent. */
  sent: TimeReading;
}

/** What this host, without a term, has seen in the log. */
interface Observation {
  readonly snapshot: DutySnapshot;
  /** Monotonic time since which the log has ended there, as far as this host has seen, in milliseconds. */
  readonly sinceMs: number;
}

/**
 * Decides when this host holds the duties. A term begins with a record that is appended under the condition that the log
 * has not changed since this host read it; the right to act lasts for a time from the sending of the latest append. Other
 * hosts take over only after they have seen no append for a longer time.
 */
export class DutyLease {
  private term?: OwnTerm;
  private seen?: Observation;
  private heardEnd?: {readonly end: number; readonly sinceMs: number};
  private highestToken = -1;
  private rereads = false;

  /** @param times - Periods of the lease. */
  constructor(readonly times: LeaseTimes) {}

  /**
   * Returns what this host states to the others: its term, if it succeeded in appending recently.
   *
   * @param now - Current time.
   */
  stated(now: TimeReading): StatedTerm | undefined {
    if (!this.term) return undefined;
    const {token, end, sent} = this.term;
    const {callMs, renewMs} = this.times;
    return elapsedMs(sent, now) <= renewMs + callMs ? {token, end} : undefined;
  }

  /** Fencing number of this host's term; `undefined` without a term. */
  get token(): number | undefined {
    return this.term?.token;
  }

  /** Whether the log has to be read before the next append of the holder. */
  get needsRead(): boolean {
    return this.rereads;
  }

  /** Position at which the log must end for the next append of the holder; `undefined` without a term. */
  get end(): number | undefined {
    return this.term?.end;
  }

  /** What was read before this host takes a term; `undefined` before the log was read. */
  get basis(): DutySnapshot | undefined {
    return this.seen?.snapshot;
  }

  /**
   * Checks whether the right to act lasts for some more time.
   *
   * @param now - Current time.
   * @param ms - Time that an act takes, in milliseconds.
   */
  covers(now: TimeReading, ms: number): boolean {
    if (!this.term) return false;
    return elapsedMs(this.term.sent, now) + ms <= this.times.rightMs;
  }

  /**
   * Checks whether this host has to append something so that others do not take over.
   *
   * @param now - Current time.
   */
  isRenewalDue(now: TimeReading): boolean {
    if (!this.term) return false;
    return elapsedMs(this.term.sent, now) >= this.times.renewMs;
  }

  /**
   * Takes in what was read from the log.
   *
   * @param snapshot - The newest records.
   * @param now - Time at which the response arrived.
   */
  read(snapshot: DutySnapshot, now: TimeReading): LogView {
    if (!this.term) {
      const {end} = snapshot;
      if (this.seen?.snapshot.end !== end) {
        // The holder stated this end after its append, and the log has not changed since.
        const heard = this.heardEnd?.end === end ? this.heardEnd : undefined;
        this.seen = {snapshot, sinceMs: heard?.sinceMs ?? now.nowMs};
      }
      return 'not-held';
    }
    this.rereads = false;
    const view = this.compare(this.term, snapshot, now);
    if (view === 'lost') this.drop();
    if (view !== 'held') this.seen = {snapshot, sinceMs: now.nowMs};
    return view;
  }

  private compare(
    term: OwnTerm,
    snapshot: DutySnapshot,
    now: TimeReading,
  ): LogView {
    const newest = snapshot.records.find(({record}) => record.kind === 'term');
    const isOwn =
      newest?.record.kind === 'term' && newest.record.nonce === term.nonce;
    if (eraOf(snapshot.end) === eraOf(term.end)) {
      if (!isOwn || snapshot.end < term.end) return 'lost';
      // An append whose result was unknown may be found; only a clean success extends the right.
      term.end = snapshot.end;
      return 'held';
    }
    // Any other term would have begun more than the whole lease after this host's last append, so while the right lasts
    // there is none; an append that was executed late may still be there.
    const isEarlier =
      !newest || offsetOf(newest.position) < offsetOf(term.token - 1);
    const isHighest = snapshot.end >= this.highestToken;
    return (isOwn || isEarlier) && isHighest && this.covers(now, 0)
      ? 'renewable'
      : 'lost';
  }

  /**
   * Checks whether this host may append a term of its own.
   *
   * @param now - Current time.
   */
  mayClaim(now: TimeReading): boolean {
    if (this.term || !this.seen) return false;
    // No host has ever held the duties.
    if (this.seen.snapshot.end === 0) return true;
    return now.nowMs - this.seen.sinceMs >= this.times.takeoverMs;
  }

  /**
   * Begins a term after this host's record was appended.
   *
   * @param nonce - Nonce of the record.
   * @param result - Result of the append; `undefined` if it is unknown.
   * @param sent - When it was sent.
   * @returns Whether this host holds the duties now.
   */
  claimed(
    nonce: string,
    result: DutyAppendResult | undefined,
    sent: TimeReading,
  ): boolean {
    const token = result?.kind === 'appended' ? result.position + 1 : -1;
    if (result?.kind !== 'appended' || token <= this.highestToken) {
      this.heardEnd = undefined;
      this.forget();
      return false;
    }
    this.highestToken = token;
    this.seen = undefined;
    this.term = {token, nonce, end: result.end, sent};
    this.rereads = false;
    return true;
  }

  /** Discards what was seen, so that this host reads the log again and waits the whole time again. */
  forget(): void {
    this.seen = undefined;
    this.rereads = this.term !== undefined;
  }

  /**
   * Takes in the result of an append of the holder.
   *
   * @param result - Result of the append; `undefined` if it is unknown.
   * @param sent - When it was sent.
   * @returns Whether the records were appended.
   */
  appended(result: DutyAppendResult | undefined, sent: TimeReading): boolean {
    const {term} = this;
    if (!term) return false;
    if (result?.kind === 'appended') {
      term.end = result.end;
      term.sent = sent;
      return true;
    }
    this.rereads = true;
    return false;
  }

  /**
   * Takes in that another host states its term.
   *
   * @param stated - Number of the term, and end of the log after the holder's last acknowledged append.
   * @param nowMs - Monotonic time at which the message arrived, in milliseconds.
   */
  heard({token, end}: StatedTerm, nowMs: number): void {
    this.highestToken = Math.max(this.highestToken, token);
    if (this.heardEnd?.end !== end) this.heardEnd = {end, sinceMs: nowMs};
    if (this.term && token > this.term.token) this.rereads = true;
  }

  /** Ends the term of this host. */
  drop(): void {
    this.term = undefined;
    this.seen = undefined;
    this.rereads = false;
  }
}

function elapsedMs(from: TimeReading, to: TimeReading): number {
  return Math.max(to.nowMs - from.nowMs, to.wallMs - from.wallMs);
}
