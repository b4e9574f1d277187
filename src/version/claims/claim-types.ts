/** First answer of a keyed request, as it is replayed. */
export interface RecordedAnswer {
  readonly status: number;
  readonly headers: Record<string, string | string[]>;
  readonly body: Buffer;
}

/** Claim of one key. */
export interface ClaimRequest {
  /** Organisation, service and idempotency key; the key is the last part. */
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
  | {kind: 'granted'; token: ClaimToken}
  | {kind: 'answered'; answer: RecordedAnswer}
  | {kind: 'unknown'}
  | {kind: 'in-progress'}
  | {kind: 'mismatch'}
  | {kind: 'expired'};
