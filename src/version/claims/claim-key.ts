import {createHash} from 'node:crypto';
import {uuidV7TimeMs} from '../../request/idempotency-key.js';

const uuidLength = 36;
/** Characters of a hash in the log; 22 base64 characters hold 132 bits. */
const hashLength = 22;

/**
 * Shortens a scope for the log.
 *
 * @param scopeKey - Organisation, service and key.
 * @returns Hash of fixed length.
 */
export function hashScope(scopeKey: string): string {
  const digest = createHash('sha256').update(scopeKey).digest('base64url');
  return digest.slice(0, hashLength);
}

/**
 * Finds the partition of a key. All hosts must agree on it.
 *
 * @param scopeHash - Result of {@link hashScope}.
 * @param partitions - Number of partitions.
 * @returns Number of the partition.
 */
export function partitionOf(scopeHash: string, partitions: number): number {
  return Buffer.from(scopeHash, 'base64url').readUInt32BE(0) % partitions;
}

/**
 * Tells whether a key that is not in the ledger may have been claimed before.
 *
 * The clock of the caller that made the key and those of the hosts may differ by `skewMs` each.
 * A key from the future would outlive its claim in the ledger and is therefore not decidable
 * either.
 *
 * @param scopeKey - Organisation, service and key; the key is the last part.
 * @param nowMs - Wall time, in milliseconds.
 * @param retentionMs - Time for which claims are kept, in milliseconds.
 * @param skewMs - Greatest difference between two clocks, in milliseconds.
 * @returns Whether the key is a UUIDv7 outside the protected time.
 */
export function isExpired(
  scopeKey: string,
  nowMs: number,
  retentionMs: number,
  skewMs: number,
): boolean {
  const createdMs = uuidV7TimeMs(scopeKey.slice(-uuidLength));
  if (createdMs === undefined) return false;
  const ageMs = nowMs - createdMs;
  return ageMs > retentionMs - 2 * skewMs || ageMs < -skewMs;
}
