import {maxAgeMs, roundAgeMs} from '../../version/deployment/feed-update.js';
import {isNumberWithin, maxCount, maxRejections} from '../number-limits.js';
import type {BrittleReport} from '../pool/brittle-services.js';
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
  return reports.map(
    ({target, bornMs, leaving, limitPerSecond, ageMs, brittle}) => [
      target,
      bornMs,
      roundAgeMs(ageMs),
      limitPerSecond ?? null,
      leaving ? 1 : 0,
      ...(brittle
        ? [roundAgeMs(brittle.ageMs), brittle.rejectionsPerSecond ?? null]
        : []),
    ],
  );
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
  const [target, bornMs, ageMs, limit, leaving, ...service] = row as unknown[];
  if (typeof target !== 'string') return undefined;
  if (!isNumberWithin(bornMs, Number.MAX_SAFE_INTEGER)) return undefined;
  if (!isNumberWithin(ageMs, maxAgeMs)) return undefined;
  const limitPerSecond = isNumberWithin(limit, maxCount) ? limit : undefined;
  const brittle = decodeBrittle(service);
  return {
    ...{target, bornMs, leaving: leaving === 1, limitPerSecond, ageMs},
    ...(brittle ? {brittle} : {}),
  };
}

function decodeBrittle([ageMs, rejections]: unknown[]):
  BrittleReport | undefined {
  if (!isNumberWithin(ageMs, maxAgeMs)) return undefined;
  if (rejections === null) return {ageMs};
  if (!isNumberWithin(rejections, maxRejections)) return undefined;
  if (!Number.isInteger(rejections)) return undefined;
  return {ageMs, rejectionsPerSecond: rejections};
}
