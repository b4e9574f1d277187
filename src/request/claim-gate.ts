import type {Clock} from '../process/clock.js';
import {FailureError} from '../process/errors/catalogue.js';
import {uuidV7TimeMs} from './idempotency-key.js';

/** First answer of a keyed request, as it is replayed. */
export interface RecordedResponse {
  readonly status: number;
  readonly headers: Record<string, string | string[]>;
  readonly body: Buffer;
}

/** Greatest body that is recorded, in bytes. */
export const maxRecordedBytes = 64 * 1024;

/** Claim of one key. */
export interface ClaimRequest {
  /** Organisation, service and idempotency key. */
  readonly scopeKey: string;
  /** Hash of method, path and body. */
  readonly requestHash: string;
  readonly requestId: string;
}

/** Handle of a granted claim. */
export interface ClaimToken {
  readonly scopeKey: string;
  readonly requestId: string;
}

/** What is known about a key. */
export type ClaimResult =
  /** The request may be dispatched, once. */
  | {kind: 'granted'; token: ClaimToken}
  /** The first answer is known. */
  | {kind: 'answered'; answer: RecordedResponse}
  /** An earlier request with the key may have run and its answer is not known. */
  | {kind: 'unknown'}
  | {kind: 'in-progress'}
  /** The key was used for another request. */
  | {kind: 'mismatch'}
  /** The key is older than the claims that are kept. */
  | {kind: 'expired'};

/** Decides which of several requests with one key may run. */
export abstract class ClaimGate {
  /**
   * Claims a key before dispatch.
   *
   * @param req - Key and request.
   * @returns Whether the request may run, or what became of the first one.
   * @throws {@link FailureError} of kind `refused` with reason `claim-unavailable`.
   */
  abstract claim(req: ClaimRequest): Promise<ClaimResult>;

  /**
   * Records the end of a claimed request.
   *
   * @param token - Granted claim.
   * @param answer - First answer; `undefined` if it is unknown or too long to record.
   */
  abstract finish(
    token: ClaimToken,
    answer: RecordedResponse | undefined,
  ): void;

  /**
   * Gives a claim back. Only for a request that was certainly not started.
   *
   * @param token - Granted claim.
   */
  abstract release(token: ClaimToken): void;
}

interface RunningClaim {
  readonly requestHash: string;
  readonly requestId: string;
}

interface FinishedClaim {
  readonly requestHash: string;
  readonly finishedMs: number;
  answer: RecordedResponse | undefined;
}

/** Settings of a {@link LocalClaimGate}. */
export interface LocalClaimOptions {
  /** Time for which finished claims are kept, in milliseconds. */
  readonly retentionMs?: number;
  /** Greatest number of claims; further ones are refused, since forgetting one would allow a second run. */
  readonly maxClaims?: number;
  /** Greatest sum of recorded bodies, in bytes; the oldest answers are forgotten first. */
  readonly maxResponseBytes?: number;
}

/** Claims of one process. Protects against resends through the same host only. */
export class LocalClaimGate extends ClaimGate {
  private readonly running = new Map<string, RunningClaim>();
  private readonly finished = new Map<string, FinishedClaim>();
  private readonly answered = new Set<string>();
  private responseBytes = 0;
  private readonly retentionMs: number;
  private readonly maxClaims: number;
  private readonly maxResponseBytes: number;

  /**
   * @param clock - Clock of the process.
   * @param options - Bounds.
   */
  constructor(
    private readonly clock: Clock,
    options: LocalClaimOptions = {},
  ) {
    super();
    this.retentionMs = options.retentionMs ?? 86_400_000;
    this.maxClaims = options.maxClaims ?? 100_000;
    this.maxResponseBytes = options.maxResponseBytes ?? 32 * 1024 * 1024;
  }

  override async claim(req: ClaimRequest): Promise<ClaimResult> {
    const {scopeKey, requestHash, requestId} = req;
    this.dropExpired();
    const running = this.running.get(scopeKey);
    const finished = this.finished.get(scopeKey);
    const known = running ?? finished;
    if (known && known.requestHash !== requestHash) return {kind: 'mismatch'};
    if (running) return {kind: 'in-progress'};
    if (finished) {
      return finished.answer
        ? {kind: 'answered', answer: finished.answer}
        : {kind: 'unknown'};
    }
    const createdMs = uuidV7TimeMs(scopeKey.slice(-36));
    if (
      createdMs !== undefined &&
      this.clock.wallMs() - createdMs > this.retentionMs
    ) {
      return {kind: 'expired'};
    }
    if (this.running.size + this.finished.size >= this.maxClaims) {
      throw new FailureError({kind: 'refused', reason: 'claim-unavailable'});
    }
    this.running.set(scopeKey, {requestHash, requestId});
    return {kind: 'granted', token: {scopeKey, requestId}};
  }

  override finish(
    token: ClaimToken,
    answer: RecordedResponse | undefined,
  ): void {
    const claim = this.running.get(token.scopeKey);
    if (claim?.requestId !== token.requestId) return;
    this.running.delete(token.scopeKey);
    this.finished.set(token.scopeKey, {
      requestHash: claim.requestHash,
      finishedMs: this.clock.nowMs(),
      answer,
    });
    if (!answer) return;
    this.answered.add(token.scopeKey);
    this.responseBytes += answer.body.length;
    while (this.responseBytes > this.maxResponseBytes) {
      this.evictResponse(this.answered.values().next().value as string);
    }
  }

  override release(token: ClaimToken): void {
    const claim = this.running.get(token.scopeKey);
    if (claim?.requestId === token.requestId) {
      this.running.delete(token.scopeKey);
    }
  }

  private evictResponse(scopeKey: string): void {
    const claim = this.finished.get(scopeKey);
    this.answered.delete(scopeKey);
    if (!claim?.answer) return;
    this.responseBytes -= claim.answer.body.length;
    claim.answer = undefined;
  }

  private dropExpired(): void {
    const nowMs = this.clock.nowMs();
    for (const [scopeKey, {finishedMs}] of this.finished) {
      if (nowMs - finishedMs <= this.retentionMs) return;
      this.evictResponse(scopeKey);
      this.finished.delete(scopeKey);
    }
  }
}
