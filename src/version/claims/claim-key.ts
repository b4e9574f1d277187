import {createHash} from 'node:crypto';
import {uuidV7TimeMs} from '../../request/idempotency-key.js';

const uuidLength = 36;
/** Length of a hash in the log, in characters; 22 base64 characters hold 132 bits. */
const hashLength = 22;

/**
 * Hashes the scope of a key for the log.
 *
 * @param scopeKey - Organisation, service and key.
 * @returns Hash of fixed length, in base64url.
 */
export function hashScope(scopeKey: string): string {
  const digest = createHash('sha256').update(scopeKey).digest('base64url');
  return digest.slice(0, hashLength);
}

/**
 * Computes the partition of a key. All hosts must agree on it.
 *
 * @param scopeHash - Result of {@link hashScope}.
 * @param partitions - Number of partitions.
 * @returns Index of the partition, from 0.
 */
export function partitionOf(scopeHash: string, partitions: number): number {
  return Buffer.from(scopeHash, 'base64url').readUInt32BE(0) % partitions;
}

/**
 * Checks whether a UUIDv7 key is too old for the ledger to rule out an earlier claim.
 *
 * The clocks of the caller that created the key and of each host may be off by up to `skewMs`. A
 * key from the future would outlive its claim in the ledger, so it counts as expired, too.
 *
 * @param scopeKey - Organisation, service and key; the key is the last part.
 * @param nowMs - Wall time, in milliseconds.
 * @param retentionMs - Retention of claims, in milliseconds.
 * @param skewMs - Maximum difference between two clocks, in milliseconds.
 * @returns True for a UUIDv7 outside the protected time; false for any other kind of key.
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
