import {
  isNumberWithin,
  maxCount,
  maxDurationMs,
  maxStatedMs,
} from '../../process/number-limits.js';
import {isHostAddress} from './addresses.js';
import {maxAgeMs} from './feed-update.js';
import type {StateCopy} from './state-copy.js';
import {requestKinds, rolloutStates} from './types.js';

/** Finds the first part of a value that is not valid; returns its path, or `undefined` if all of it is valid. */
type Check = (value: unknown, path: string) => string | undefined;

function where(isValid: (value: unknown) => boolean): Check {
  return (value, path) => (isValid(value) ? undefined : path);
}

function numberWithin(max: number, min = 0): Check {
  return where(value => isNumberWithin(value, max, min));
}

function oneOf(values: Readonly<Record<string, unknown>>): Check {
  const known = new Set<unknown>(Object.values(values));
  return where(value => known.has(value));
}

function optional(check: Check): Check {
  return (value, path) =>
    value === undefined ? undefined : check(value, path);
}

function listOf(check: Check): Check {
  return (value, path) => {
    if (!Array.isArray(value)) return path;
    for (const [i, item] of value.entries()) {
      const invalid = check(item, `${path}[${i}]`);
      if (invalid !== undefined) return invalid;
    }
    return undefined;
  };
}

/** Checks the named fields of an object; others are ignored, as a newer version may add some. */
function fields(checks: Readonly<Record<string, Check>>): Check {
  return (value, path) => {
    if (typeof value !== 'object' || value === null) return path;
    for (const [name, check] of Object.entries(checks)) {
      const field = (value as Record<string, unknown>)[name];
      const invalid = check(field, path ? `${path}.${name}` : name);
      if (invalid !== undefined) return invalid;
    }
    return undefined;
  };
}

const text = where(value => typeof value === 'string');
const address = where(
  value => typeof value === 'string' && isHostAddress(value),
);
const flag = where(value => typeof value === 'boolean');
const count = numberWithin(maxCount);
const duration = numberWithin(maxDurationMs);
/** A version, a time of start or a position; -1 stands for a log that was not read. */
const exact = numberWithin(Number.MAX_SAFE_INTEGER, -1);

const configuration = fields({
  version: exact,
  routes: listOf(
    fields({
      ...{name: text, host: text, pathPrefix: text, kind: oneOf(requestKinds)},
      ...{timeoutMs: duration, objectiveMs: duration},
      ...{rank: count, maxRuns: count, isPublic: flag, resumable: flag},
      services: listOf(fields({service: text, weight: count})),
      regions: listOf(text),
    }),
  ),
  services: listOf(
    fields({
      ...{name: text, maxConnections: count, coldPerSecond: count},
      engine: optional(
        fields({slots: count, memoryTokens: count, tokensPerEvent: count}),
      ),
    }),
  ),
  needsKeys: optional(flag),
  organisations: listOf(
    fields({
      ...{name: text, keys: listOf(text), rank: optional(count)},
      ...{countsTokens: flag, plainTokens: count},
      ...{ratePerSecond: count, burst: count},
    }),
  ),
  limits: fields({
    ...{maxHeaderBytes: count, maxBodyBytes: count},
    ...{headerTimeoutMs: duration, idleTimeoutMs: duration},
  }),
});

const age = numberWithin(maxAgeMs);
const copy = fields({
  offsets: fields({orders: exact, targets: exact}),
  ages: optional(fields({orders: age, targets: age})),
  configuration: optional(configuration),
  evacuated: listOf(text),
  orders: listOf(
    fields({
      order: fields({service: text, version: text, durationMs: duration}),
      offset: exact,
    }),
  ),
  unconfirmed: optional(
    listOf(
      fields({
        ...{zone: optional(text), service: optional(text)},
        leftMs: duration,
      }),
    ),
  ),
  statuses: listOf(
    fields({service: text, version: text, state: oneOf(rolloutStates)}),
  ),
  hosts: optional(listOf(fields({host: text, ip: address, zone: text}))),
  targets: listOf(
    fields({
      ...{id: text, service: text, address: text, zone: text, version: text},
      ...{slots: count, draining: flag, bornMs: exact},
      coldMs: numberWithin(maxStatedMs),
    }),
  ),
});

/**
 * Decodes the state copy of another host.
 *
 * @param json - Copy as received.
 * @returns The copy, of which each number is finite and within its limits.
 * @throws SyntaxError - If the text is no JSON or a field is missing or invalid; the message names the field.
 */
export function decodeStateCopy(json: string): StateCopy {
  const value: unknown = JSON.parse(json);
  const invalid = copy(value, '');
  if (invalid !== undefined) {
    throw new SyntaxError(`"${invalid}" is missing or invalid in the copy`);
  }
  return value as StateCopy;
}
