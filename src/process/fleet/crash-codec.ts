import type {CrashReport, ReportedCrash} from '../crashes/crash-report.js';

/** Maximum length of a fingerprint or name of a target in a message. */
const maxNameLength = 80;
/** Maximum age in a message, in milliseconds; evidence expires earlier. */
const maxAgeMs = 3_600_000;

/**
 * Encodes a crash report as rows for a datagram.
 *
 * @param report - Report to send.
 * @returns Rows of confirmed crashes, of completions and of crashes that are not confirmed, which hosts with an older
 *   version skip; `undefined` if there are none.
 */
export function encodeCrashReport({
  crashes,
  cleared,
}: CrashReport): unknown[] | undefined {
  if (crashes.length === 0 && cleared.length === 0) return undefined;
  const confirmed = crashes.filter(({isProvisional}) => !isProvisional);
  const provisional = crashes.filter(({isProvisional}) => isProvisional);
  return [
    confirmed.map(encodeCrash),
    cleared.map(({fingerprint, ageMs}) => [fingerprint, Math.round(ageMs)]),
    ...(provisional.length > 0 ? [provisional.map(encodeCrash)] : []),
  ];
}

function encodeCrash(crash: ReportedCrash): unknown[] {
  const {fingerprint, target, rank, weight, ageMs, startedAgeMs} = crash;
  return [
    ...[fingerprint, target, rank],
    ...[Math.round(ageMs), Math.round(startedAgeMs), weight],
  ];
}

/**
 * Decodes a crash report. Malformed rows are skipped.
 *
 * @param value - Value from a datagram.
 */
export function decodeCrashReport(value: unknown): CrashReport {
  const [crashRows, clearedRows, provisionalRows] = Array.isArray(value)
    ? (value as unknown[])
    : [];
  const crashes = [
    ...rowsOf(crashRows).flatMap(row => decodeCrash(row, false) ?? []),
    ...rowsOf(provisionalRows).flatMap(row => decodeCrash(row, true) ?? []),
  ];
  const cleared = rowsOf(clearedRows).flatMap(([fingerprint, ageMs]) =>
    isName(fingerprint) && isAge(ageMs) ? {fingerprint, ageMs} : [],
  );
  return {crashes, cleared};
}

function decodeCrash(
  row: unknown[],
  isProvisional: boolean,
): ReportedCrash | undefined {
  const [fingerprint, target, rank, ageMs, startedAgeMs, weight] = row;
  if (!isName(fingerprint) || !isName(target) || !isAge(rank)) return undefined;
  if (!isAge(ageMs) || !isAge(startedAgeMs)) return undefined;
  if (!isAge(weight) || weight > 1) return undefined;
  const ages = {ageMs, startedAgeMs};
  return {fingerprint, target, rank, weight, ...ages, isProvisional};
}

function rowsOf(value: unknown): unknown[][] {
  return Array.isArray(value)
    ? value.filter((row): row is unknown[] => Array.isArray(row))
    : [];
}

function isName(value: unknown): value is string {
  return (
    typeof value === 'string' &&
    value.length > 0 &&
    value.length <= maxNameLength
  );
}

/** Whether a value is a number from 0 to {@link maxAgeMs}; a negative age would be evidence from the future. */
function isAge(value: unknown): value is number {
  return typeof value === 'number' && value >= 0 && value <= maxAgeMs;
}
