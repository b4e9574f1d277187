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

/** Maximum number of ended attempts that are retained. */
const maxEndedAttempts = 50_000;
/** Maximum total size of the recorded response bodies, in bytes. */
const maxResponseBytes = 8_388_608;
/** Maximum number of abandoned claims with a pending release; beyond it, claims are refused. */
const maxAbandoned = 10_000;
/** Maximum number of tries to claim a key that was released in the meantime. */
const maxClaimRounds = 3;
/** Tolerated difference between two clocks: as a share of the retention, and its maximum. */
const skewShare = 0.05;
const maxSkewMs = 60_000;

/** Status of an attempt, as known to the process that made it. */
export type AttemptStatus =
  | {kind: 'answered'; answer: RecordedResponse}
  | {kind: 'in-progress'}
  /** Certainly not started; its release is pending or was read back. */
  | {kind: 'not-started'}
  | {kind: 'unknown'};

/** Queries the process that holds a claim. */
export abstract class AttemptStatusSource {
  /**
   * Queries the status of an attempt.
   *
   * @param holder - Claim that holds the key.
   * @returns Status reported by the process, or `unknown` if it is unreachable.
   */
  abstract getStatus(holder: ClaimEntry): Promise<AttemptStatus>;
}

/** Source without access to other hosts; every status is `unknown`. */
export class UnknownStatusSource extends AttemptStatusSource {
  override async getStatus(): Promise<AttemptStatus> {
    return {kind: 'unknown'};
  }
}

/** Dependencies and settings of a {@link LogClaimGate}. */
export interface LogClaimGateParts {
  /** Name of the host. */
  readonly host: string;
  readonly clock: Clock;
  readonly submitter: ClaimSubmitter;
  readonly statusSource: AttemptStatusSource;
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
 * Claims keys in the log. A claim is granted only after it was read back as the first one of its
 * key; a claim that may be in the log without having been granted is released.
 */
export class LogClaimGate extends ClaimGate {
  /** Unique per start, so that claims of an earlier process are never taken for local ones. */
  private readonly process: string;
  /** Attempts of this process by id: undecided, running, and ended ones that are retained. */
  private readonly attempts = new Map<string, Attempt>();
  /** Running attempts, by request id. */
  private readonly granted = new Map<string, Attempt>();
  /** Running and finished attempts, by scope hash. */
  private readonly byScope = new Map<string, Attempt>();
  /** Ids of ended attempts, oldest first. */
  private readonly ended = new Set<string>();
  private responseBytes = 0;
  private abandoned = 0;
  private readonly releases = new Set<Promise<unknown>>();

  /**
   * @param parts - Dependencies and settings.
   */
  constructor(private readonly parts: LogClaimGateParts) {
    super();
    this.process = `${parts.host}/${randomUUID()}`;
  }

  /**
   * Claims a key before dispatch.
   *
   * @param req - Key and request.
   * @returns Whether the request may run, or the outcome of the first one.
   * @throws {@link FailureError} of kind `refused` with reason `claim-unavailable`; the request was
   *   not run and will not run under this claim.
   */
  override async claim(req: ClaimRequest): Promise<ClaimResult> {
    const {clock, retentionMs} = this.parts;
    const skewMs = claimSkewMs(retentionMs);
    if (isExpired(req.scopeKey, clock.wallMs(), retentionMs, skewMs)) {
      return {kind: 'expired'};
    }
    if (this.abandoned >= maxAbandoned) throw unavailable();
    const scopeHash = hashScope(req.scopeKey);
    for (let round = 0; round < maxClaimRounds; round++) {
      const known = this.findLocal(scopeHash);
      if (known) return this.toLocalResult(known, req);
      const local: Attempt = {
        scopeHash,
        requestHash: req.requestHash,
        attempt: randomUUID(),
        startMs: clock.nowMs(),
        state: 'claiming',
      };
      const decision = await this.submitClaim(local);
      if (decision.kind === 'won') {
        local.state = 'running';
        this.byScope.set(scopeHash, local);
        this.granted.set(req.requestId, local);
        const {scopeKey, requestId} = req;
        return {kind: 'granted', token: {scopeKey, requestId}};
      }
      this.attempts.delete(local.attempt);
      const holder = decision.kind === 'lost' ? decision.holder : undefined;
      // Without a holder the key was released in the meantime, and the next try may win it.
      const result = holder && (await this.toHolderResult(holder, req));
      if (result) return result;
    }
    throw unavailable();
  }

  /**
   * Records the end of a claimed request.
   *
   * @param token - Granted claim.
   * @param response - First response; `undefined` if it is unknown or too long to record.
   */
  override finish(
    token: ClaimToken,
    response: RecordedResponse | undefined,
  ): void {
    const local = this.granted.get(token.requestId);
    if (!local) return;
    this.granted.delete(token.requestId);
    local.state = 'finished';
    local.answer = response;
    this.retain(local);
  }

  /**
   * Releases a claim. Only for a request that was certainly not started.
   *
   * @param token - Granted claim.
   */
  override release(token: ClaimToken): void {
    const local = this.granted.get(token.requestId);
    if (!local) return;
    this.granted.delete(token.requestId);
    this.abandon(local);
  }

  /**
   * Returns the status of an attempt of this process, also on behalf of other hosts.
   *
   * @param holder - Claim that holds the key.
   * @returns The status; `unknown` for an attempt of another process or one no longer retained.
   */
  getAttemptStatus(
    holder: Pick<ClaimEntry, 'host' | 'attempt'>,
  ): AttemptStatus {
    const local = this.attempts.get(holder.attempt);
    if (!local || holder.host !== this.process) return {kind: 'unknown'};
    switch (local.state) {
      case 'finished':
        return local.answer
          ? {kind: 'answered', answer: local.answer}
          : {kind: 'unknown'};
      case 'abandoned':
        return {kind: 'not-started'};
      default:
        return {kind: 'in-progress'};
    }
  }

  /** Number of abandoned claims whose release is pending. */
  get pendingReleases(): number {
    return this.releases.size;
  }

  /** Waits until the releases of all abandoned claims have ended. */
  async released(): Promise<void> {
    while (this.releases.size > 0) await Promise.all(this.releases);
  }

  /** Finds a running or finished attempt of this process, which is decided without the log. */
  private findLocal(scopeHash: string): Attempt | undefined {
    const local = this.byScope.get(scopeHash);
    const {clock, retentionMs} = this.parts;
    return local && clock.nowMs() - local.startMs <= retentionMs
      ? local
      : undefined;
  }

  private toLocalResult(
    local: Attempt,
    {requestHash}: ClaimRequest,
  ): ClaimResult {
    if (local.requestHash !== requestHash) return {kind: 'mismatch'};
    if (local.state !== 'finished') return {kind: 'in-progress'};
    return local.answer
      ? {kind: 'answered', answer: local.answer}
      : {kind: 'unknown'};
  }

  private async submitClaim(local: Attempt): Promise<LedgerDecision> {
    const {clock, submitter, partitions} = this.parts;
    const {scopeHash, requestHash, attempt} = local;
    this.attempts.set(attempt, local);
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
      if (err.maybeAppended) this.abandon(local);
      else this.attempts.delete(attempt);
      throw unavailable();
    }
  }

  /** Derives the result from the status of the holder; `undefined` if the claim can be retried. */
  private async toHolderResult(
    holder: ClaimEntry,
    req: ClaimRequest,
  ): Promise<ClaimResult | undefined> {
    if (holder.requestHash !== req.requestHash) return {kind: 'mismatch'};
    const isLocal = holder.host === this.process;
    const known = isLocal
      ? this.getAttemptStatus(holder)
      : await this.parts.statusSource.getStatus(holder);
    if (known.kind !== 'not-started') return known;
    // The other process releases its claim itself; until then this request is refused as not run.
    if (!isLocal) throw unavailable();
    await this.attempts.get(holder.attempt)?.released;
    return undefined;
  }

  /** Releases the key of an attempt that was not and will not be started. */
  private abandon(local: Attempt): void {
    const {clock, submitter, partitions} = this.parts;
    const {scopeHash, attempt} = local;
    local.state = 'abandoned';
    this.removeScope(local);
    this.abandoned++;
    const released = submitter
      .submit(partitionOf(scopeHash, partitions), {
        op: 'release',
        scopeHash,
        attempt,
        time: clock.wallMs(),
      })
      .then(
        // Hosts that have not read the release yet may still query the attempt's status.
        () => this.retain(local),
        // The writer was stopped: the claim stays, and the result of a retry is `unknown`.
        () => {},
      )
      .finally(() => {
        this.abandoned--;
        this.releases.delete(released);
      });
    local.released = released;
    this.releases.add(released);
  }

  /** Retains an ended attempt for later queries, and evicts the oldest ones beyond the limits. */
  private retain(local: Attempt): void {
    this.ended.add(local.attempt);
    this.responseBytes += local.answer?.body.length ?? 0;
    while (
      this.ended.size > maxEndedAttempts ||
      this.responseBytes > maxResponseBytes
    ) {
      this.evictOldest();
    }
  }

  private evictOldest(): void {
    const oldest = this.ended.values().next().value as string;
    const local = this.attempts.get(oldest);
    this.ended.delete(oldest);
    this.attempts.delete(oldest);
    if (!local) return;
    this.responseBytes -= local.answer?.body.length ?? 0;
    this.removeScope(local);
  }

  private removeScope(local: Attempt): void {
    if (this.byScope.get(local.scopeHash) === local) {
      this.byScope.delete(local.scopeHash);
    }
  }
}

/**
 * Computes the clock difference that is tolerated.
 *
 * @param retentionMs - Time for which keys are protected, in milliseconds.
 * @returns Maximum difference between two clocks, in milliseconds.
 */
export function claimSkewMs(retentionMs: number): number {
  return Math.min(maxSkewMs, retentionMs * skewShare);
}

/**
 * Computes the retention of keys in ledgers, which exceeds the time for which a UUIDv7 key is
 * decided by a ledger.
 *
 * @param retentionMs - Time for which keys are protected, in milliseconds.
 * @returns Time after the latest entry of a key, in milliseconds.
 */
export function claimLedgerRetentionMs(retentionMs: number): number {
  return retentionMs + 2 * claimSkewMs(retentionMs);
}

function unavailable(): FailureError {
  return new FailureError({kind: 'refused', reason: 'claim-unavailable'});
}
