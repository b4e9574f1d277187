import {maxAgeMs, roundAgeMs} from '../../version/deployment/feed-update.js';
import {isNumberWithin, maxCount} from '../number-limits.js';
import type {StatementReport} from '../pool/target-statements.js';

/**
 * Encodes what targets say of themselves.
 *
 * @param reports - Reports of this host.
 * @returns One row each; `undefined` without reports.
 */
export function encodeStatements(
  reports: readonly StatementReport[],
): unknown[] | undefined {
  if (reports.length === 0) return undefined;
  return reports.map(({target, bornMs, leaving, limitPerSecond, ageMs}) => [
    target,
    bornMs,
    roundAgeMs(ageMs),
    limitPerSecond ?? null,
    leaving ? 1 : 0,
  ]);
}

/**
 * Decodes what {@link encodeStatements} returns. Malformed rows are skipped.
 *
 * @param rows - Decoded JSON.
 */
export function decodeStatements(rows: unknown): StatementReport[] {
  if (!Array.isArray(rows)) return [];
  return (rows as unknown[]).flatMap(row => decodeStatement(row) ?? []);
}

function decodeStatement(row: unknown): StatementReport | undefined {
  if (!Array.isArray(row)) return undefined;
  const [target, bornMs, ageMs, limit, leaving] = row as unknown[];
  if (typeof target !== 'string') return undefined;
  if (!isNumberWithin(bornMs, Number.MAX_SAFE_INTEGER)) return undefined;
  if (!isNumberWithin(ageMs, maxAgeMs)) return undefined;
  const limitPerSecond = isNumberWithin(limit, maxCount) ? limit : undefined;
  return {target, bornMs, leaving: leaving === 1, limitPerSecond, ageMs};
}
