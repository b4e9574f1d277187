import type {Clock} from '../process/clock.js';
import {FailureError} from '../process/errors/catalogue.js';
import {uuidV7TimeMs} from './idempotency-key.js';

/** First response to a request with an idempotency key, replayed to its retries. */
export interface RecordedResponse {
  readonly status: number;
  readonly headers: Record<string, string | string[]>;
  readonly body: Buffer;
}

/** Maximum body that is recorded, in bytes. */
export const maxRecordedBytes = 64 * 1024;

/** Request to claim an idempotency key. */
export interface ClaimRequest {
  /** Organisation, service and idempotency key, joined by `/`. */
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

/** Result of claiming a key. */
export type ClaimResult =
  /** The request may be dispatched once. */
  | {kind: 'granted'; token: ClaimToken}
  /** The first response was recorded. */
  | {kind: 'answered'; answer: RecordedResponse}
  /** An earlier request with the key may have run, and its response is not known. */
  | {kind: 'unknown'}
  /** An earlier request with the key is still running. */
  | {kind: 'in-progress'}
  /** The key was used for a request with another method, path or body. */
  | {kind: 'mismatch'}
  /** The key is older than the retention of claims, so an earlier run cannot be ruled out. */
  | {kind: 'expired'};

/** Grants each idempotency key to at most one running request. */
export abstract class ClaimGate {
  /**
   * Claims a key before dispatch.
   *
   * @param req - Key and request.
   * @returns Whether the request may run, or the outcome of the first one.
   * @throws {@link FailureError} of kind `refused` with reason `claim-unavailable`.
   */
  abstract claim(req: ClaimRequest): Promise<ClaimResult>;

  /**
   * Records the end of a claimed request.
   *
   * @param token - Granted claim.
   * @param response - First response; `undefined` if it is unknown or too long to record.
   */
  abstract finish(
    token: ClaimToken,
    response: RecordedResponse | undefined,
  ): void;

  /**
   * Releases a claim, so that the key can be claimed again. Only for a request that was certainly
   * not started.
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
  /** Retention of finished claims, in milliseconds. */
  readonly retentionMs?: number;
  /** Maximum number of claims; further ones are refused, since evicting one would allow a second run. */
  readonly maxClaims?: number;
  /** Maximum total size of recorded bodies, in bytes; the oldest responses are evicted first. */
  readonly maxResponseBytes?: number;
}

/** Claims held in memory by one process. Detects only retries through the same host. */
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
   * @param options - Retention and limits.
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
    response: RecordedResponse | undefined,
  ): void {
    const claim = this.running.get(token.scopeKey);
    if (claim?.requestId !== token.requestId) return;
    this.running.delete(token.scopeKey);
    this.finished.set(token.scopeKey, {
      requestHash: claim.requestHash,
      finishedMs: this.clock.nowMs(),
      answer: response,
    });
    if (!response) return;
    this.answered.add(token.scopeKey);
    this.responseBytes += response.body.length;
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
