import {randomUUID} from 'node:crypto';
import type {Clock} from '../../process/clock.js';
import {FailureError} from '../../process/errors/catalogue.js';
import {
  ClaimGate,
  type ClaimRequest,
  type ClaimResult,
  type ClaimToken,
  type RecordedResponse,
} from '../../request/claim-gate.js';
import {hashScope, isExpired, partitionOf} from './claim-key.js';
import type {ClaimEntry, LedgerDecision} from './claim-ledger.js';
import type {ClaimSubmitter} from './claim-submitter.js';
import {ClaimUndecidedError} from './claim-writer.js';

/** Ended claims that are kept with their answers, and the sum of their bodies, in bytes. */
const maxEnded = 50_000;
const maxAnswerBytes = 8_388_608;
/** Claims whose release was not read back yet; no further claims are tried beyond. */
const maxAbandoned = 10_000;
/** Times that a claim is repeated after a release of this host made the key free. */
const maxTries = 3;
/** Greatest difference of two clocks that is allowed for, as a share of the retention. */
const skewShare = 0.05;
const maxSkewMs = 60_000;

/** What a process knows of an attempt that it made. */
export type AttemptStatus =
  | {kind: 'answered'; answer: RecordedResponse}
  | {kind: 'in-progress'}
  /** Certainly not started; its release is on the way to the log. */
  | {kind: 'not-started'}
  | {kind: 'unknown'};

/** Asks the process that holds a claim. */
export abstract class AttemptStatusSource {
  /**
   * Asks what became of an attempt.
   *
   * @param holder - Claim that holds the key.
   * @returns What the process knows, or `unknown` if it cannot be asked.
   */
  abstract getStatus(holder: ClaimEntry): Promise<AttemptStatus>;
}

/** Used while other hosts cannot be asked. */
export class UnknownStatusSource extends AttemptStatusSource {
  override async getStatus(): Promise<AttemptStatus> {
    return {kind: 'unknown'};
  }
}

/** Parts that the gate uses. */
export interface LogClaimGateParts {
  /** Name of the host. */
  readonly host: string;
  readonly clock: Clock;
  readonly submitter: ClaimSubmitter;
  readonly answers: AttemptStatusSource;
  readonly partitions: number;
  /** Time for which keys are protected, in milliseconds. */
  readonly retentionMs: number;
}

interface Attempt {
  readonly scopeHash: string;
  readonly requestHash: string;
  readonly attempt: string;
  readonly startMs: number;
  state: 'claiming' | 'running' | 'finished' | 'abandoned';
  answer?: RecordedResponse;
  released?: Promise<unknown>;
}

/**
 * Claims keys in the log. A request is granted only after its claim was read back as the first one
 * of its key; a claim that may stand in the log without being granted is released.
 */
export class LogClaimGate extends ClaimGate {
  /** Differs after a restart, so that claims of an earlier process are never taken for own ones. */
  private readonly process: string;
  private readonly attempts = new Map<string, Attempt>();
  private readonly granted = new Map<string, Attempt>();
  /** Running and finished attempts, by the hash of their scope. */
  private readonly byScope = new Map<string, Attempt>();
  private readonly ended = new Set<string>();
  private answerBytes = 0;
  private abandoned = 0;
  private readonly releases = new Set<Promise<unknown>>();

  /**
   * @param parts - Parts of the process.
   */
  constructor(private readonly parts: LogClaimGateParts) {
    super();
    this.process = `${parts.host}/${randomUUID()}`;
  }

  /**
   * Claims a key before dispatch.
   *
   * @param req - Key and request.
   * @returns Whether the request may run, or what became of the first one.
   * @throws {@link FailureError} of kind `refused` with reason `claim-unavailable`; the request
   *   was not and will not be run under this claim.
   */
  override async claim(req: ClaimRequest): Promise<ClaimResult> {
    const {clock, retentionMs} = this.parts;
    const skewMs = claimSkewMs(retentionMs);
    if (isExpired(req.scopeKey, clock.wallMs(), retentionMs, skewMs)) {
      return {kind: 'expired'};
    }
    if (this.abandoned >= maxAbandoned) throw unavailable();
    const scopeHash = hashScope(req.scopeKey);
    for (let tries = 0; tries < maxTries; tries++) {
      const known = this.findOwn(scopeHash);
      if (known) return this.explainOwn(known, req);
      const own: Attempt = {
        scopeHash,
        requestHash: req.requestHash,
        attempt: randomUUID(),
        startMs: clock.nowMs(),
        state: 'claiming',
      };
      const decision = await this.submitClaim(own);
      if (decision.kind === 'won') {
        own.state = 'running';
        this.byScope.set(scopeHash, own);
        this.granted.set(req.requestId, own);
        const {scopeKey, requestId} = req;
        return {kind: 'granted', token: {scopeKey, requestId}};
      }
      this.attempts.delete(own.attempt);
      const holder = decision.kind === 'lost' ? decision.holder : undefined;
      // Without a holder the key was released meanwhile, and the next try may win it.
      const result = holder && (await this.explain(holder, req));
      if (result) return result;
    }
    throw unavailable();
  }

  /**
   * Records the end of a claimed request.
   *
   * @param token - Granted claim.
   * @param answer - First answer; `undefined` if it is unknown or too long to record.
   */
  override finish(
    token: ClaimToken,
    answer: RecordedResponse | undefined,
  ): void {
    const own = this.granted.get(token.requestId);
    if (!own) return;
    this.granted.delete(token.requestId);
    own.state = 'finished';
    own.answer = answer;
    this.remember(own);
  }

  /**
   * Gives a claim back. Only for a request that was certainly not started.
   *
   * @param token - Granted claim.
   */
  override release(token: ClaimToken): void {
    const own = this.granted.get(token.requestId);
    if (!own) return;
    this.granted.delete(token.requestId);
    this.abandon(own);
  }

  /**
   * Tells another host what became of an attempt of this process.
   *
   * @param holder - Claim that holds the key.
   * @returns What is known here.
   */
  getAttemptStatus(
    holder: Pick<ClaimEntry, 'host' | 'attempt'>,
  ): AttemptStatus {
    const own = this.attempts.get(holder.attempt);
    if (!own || holder.host !== this.process) return {kind: 'unknown'};
    switch (own.state) {
      case 'finished':
        return own.answer
          ? {kind: 'answered', answer: own.answer}
          : {kind: 'unknown'};
      case 'abandoned':
        return {kind: 'not-started'};
      default:
        return {kind: 'in-progress'};
    }
  }

  /** Claims that were given up and whose release is not known to stand in the log. */
  get pendingReleases(): number {
    return this.releases.size;
  }

  /** Waits until all claims that were given up are released. */
  async released(): Promise<void> {
    while (this.releases.size > 0) await Promise.all(this.releases);
  }

  /** Finds a running or ended request of this process, so that the log need not be asked. */
  private findOwn(scopeHash: string): Attempt | undefined {
    const own = this.byScope.get(scopeHash);
    const {clock, retentionMs} = this.parts;
    return own && clock.nowMs() - own.startMs <= retentionMs ? own : undefined;
  }

  private explainOwn(own: Attempt, {requestHash}: ClaimRequest): ClaimResult {
    if (own.requestHash !== requestHash) return {kind: 'mismatch'};
    if (own.state !== 'finished') return {kind: 'in-progress'};
    return own.answer
      ? {kind: 'answered', answer: own.answer}
      : {kind: 'unknown'};
  }

  private async submitClaim(own: Attempt): Promise<LedgerDecision> {
    const {clock, submitter, partitions} = this.parts;
    const {scopeHash, requestHash, attempt} = own;
    this.attempts.set(attempt, own);
    try {
      return await submitter.submit(partitionOf(scopeHash, partitions), {
        op: 'claim',
        scopeHash,
        requestHash,
        attempt,
        host: this.process,
        time: clock.wallMs(),
      });
    } catch (err) {
      if (!(err instanceof ClaimUndecidedError)) throw err;
      if (err.maybeAppended) this.abandon(own);
      else this.attempts.delete(attempt);
      throw unavailable();
    }
  }

  /** Answers from the holder of the key; `undefined` if the claim is worth another try. */
  private async explain(
    holder: ClaimEntry,
    req: ClaimRequest,
  ): Promise<ClaimResult | undefined> {
    if (holder.requestHash !== req.requestHash) return {kind: 'mismatch'};
    const isOwn = holder.host === this.process;
    const known = isOwn
      ? this.getAttemptStatus(holder)
      : await this.parts.answers.getStatus(holder);
    if (known.kind !== 'not-started') return known;
    // Another host releases its claim by itself; until then this request is refused as not run.
    if (!isOwn) throw unavailable();
    await this.attempts.get(holder.attempt)?.released;
    return undefined;
  }

  /** Makes an attempt that was not and will not be started free again. */
  private abandon(own: Attempt): void {
    const {clock, submitter, partitions} = this.parts;
    const {scopeHash, attempt} = own;
    own.state = 'abandoned';
    this.forgetScope(own);
    this.abandoned++;
    const released = submitter
      .submit(partitionOf(scopeHash, partitions), {
        op: 'release',
        scopeHash,
        attempt,
        time: clock.wallMs(),
      })
      .then(
        // Other hosts may still ask, having read the log up to a record before the release.
        () => this.remember(own),
        // The writer was stopped: the claim stays, and a resend is answered as unknown.
        () => {},
      )
      .finally(() => {
        this.abandoned--;
        this.releases.delete(released);
      });
    own.released = released;
    this.releases.add(released);
  }

  /** Keeps an ended attempt for later questions, and forgets the oldest ones beyond the bounds. */
  private remember(own: Attempt): void {
    this.ended.add(own.attempt);
    this.answerBytes += own.answer?.body.length ?? 0;
    while (this.ended.size > maxEnded || this.answerBytes > maxAnswerBytes) {
      this.forgetOldest();
    }
  }

  private forgetOldest(): void {
    const oldest = this.ended.values().next().value as string;
    const own = this.attempts.get(oldest);
    this.ended.delete(oldest);
    this.attempts.delete(oldest);
    if (!own) return;
    this.answerBytes -= own.answer?.body.length ?? 0;
    this.forgetScope(own);
  }

  private forgetScope(own: Attempt): void {
    if (this.byScope.get(own.scopeHash) === own) {
      this.byScope.delete(own.scopeHash);
    }
  }
}

/**
 * Chooses the clock difference that is allowed for.
 *
 * @param retentionMs - Time for which keys are protected, in milliseconds.
 * @returns Greatest difference between two clocks, in milliseconds.
 */
export function claimSkewMs(retentionMs: number): number {
  return Math.min(maxSkewMs, retentionMs * skewShare);
}

/**
 * Chooses how long ledgers remember keys: longer than a UUIDv7 key is decided by them.
 *
 * @param retentionMs - Time for which keys are protected, in milliseconds.
 * @returns Time since the last record of a key, in milliseconds.
 */
export function claimLedgerRetentionMs(retentionMs: number): number {
  return retentionMs + 2 * claimSkewMs(retentionMs);
}

function unavailable(): FailureError {
  return new FailureError({kind: 'refused', reason: 'claim-unavailable'});
}
