import {randomUUID} from 'node:crypto';
import {FailureError} from '../process/errors/catalogue.js';
import {getResource, type ConfigState} from '../version/config-state.js';
import type {Resource, Tier} from '../version/resources/kinds.js';
import {getConfigIndex, type KeyOwner} from './config-index.js';
import {readIdempotencyKey} from './idempotency-key.js';
import type {RefusalReason} from './refusals.js';

/** Request line and headers of a caller's request. */
export interface RequestHead {
  readonly method: string;
  /** Path and query as received. */
  readonly url: string;
  /** Values by lower-case name; one entry for each header line. */
  readonly headers: NodeJS.Dict<string[]>;
}

/** A request that passed admission and may be dispatched. */
export interface Admitted {
  /** Unique in the fleet. */
  readonly id: string;
  readonly organisation: string;
  readonly weight: number;
  readonly tier: Tier;
  readonly service: Resource<'service'>;
  /** Path prefix of the service's route; the path itself for model services. */
  readonly route: string;
  /** Path and query that the target receives. */
  readonly targetPath: string;
  readonly idempotent: boolean;
  /** Parsed `Idempotency-Key`, if the caller sent one. */
  readonly key?: string;
  /** Time from arrival to the deadline, in milliseconds. */
  readonly timeoutMs: number;
}

const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS']);
/** Paths of the OpenAI API that model services serve. */
export const modelPaths: ReadonlySet<string> = new Set([
  '/v1/chat/completions',
  '/v1/completions',
]);
const dotSegment = /(?:\/|%2f|\\|%5c)(?:\.|%2e){1,2}(?:\/|%2f|\\|%5c|$)/i;
const servicePath = /^\/services\/([a-z0-9-]+)(\/.*)?$/;

/**
 * Authenticates a request and resolves its service, route and timeout.
 *
 * @param state - Current configuration.
 * @param head - Method, path and headers.
 * @param model - Value of `model` in the body, for model services.
 * @returns The admitted request, with a new id.
 * @throws {@link FailureError} of kind `refused`.
 */
export function admit(
  state: ConfigState,
  head: RequestHead,
  model: string | undefined,
): Admitted {
  const {organisation, key} = authenticate(state, head);
  const path = head.url.split('?', 1)[0];
  const found = modelPaths.has(path)
    ? findModelService(state, head, path, model)
    : findPlainService(state, head, path);
  return {
    id: randomUUID(),
    organisation: organisation.name,
    weight: organisation.spec.weight,
    tier: key.tier,
    ...found,
    key: readIdempotencyKey(head.headers['idempotency-key']),
    timeoutMs: readTimeout(head) ?? found.service.spec.defaultTimeoutMs,
  };
}

/**
 * Authenticates a caller by its bearer token.
 *
 * @param state - Current configuration, which holds the keys.
 * @param head - Request whose `Authorization` header is checked.
 * @returns The key and the organisation that owns it.
 * @throws {@link FailureError} of kind `refused` with reason `unauthenticated`.
 */
export function authenticate(state: ConfigState, head: RequestHead): KeyOwner {
  const values = head.headers['authorization'];
  const token = /^Bearer +(\S+) *$/i.exec(values?.[0] ?? '');
  const owner = token ? getConfigIndex(state).findKey(token[1]) : undefined;
  if (!owner) throw refused('unauthenticated');
  return owner;
}

function findModelService(
  state: ConfigState,
  head: RequestHead,
  path: string,
  model: string | undefined,
) {
  if (head.method !== 'POST') throw refused('method-not-allowed');
  const service =
    model === undefined ? undefined : getConfigIndex(state).findModel(model);
  if (!service) throw refused('unknown-service');
  return {service, route: path, targetPath: head.url, idempotent: true};
}

function findPlainService(state: ConfigState, head: RequestHead, path: string) {
  const match = servicePath.exec(path);
  if (!match) throw refused('unknown-route');
  // The target could normalise such a path to a route that is not idempotent and must not be retried.
  if (dotSegment.test(path)) {
    throw refused('malformed-request', 'the path contains dot segments');
  }
  const service = getResource(state, 'service', match[1]);
  if (!service || service.spec.type !== 'plain')
    throw refused('unknown-service');
  const rest = head.url.slice(`/services/${match[1]}`.length);
  const targetPath = rest.startsWith('/') ? rest : `/${rest}`;
  const route = (service.spec.routes ?? [])
    .filter(
      ({pathPrefix, methods}) =>
        targetPath.startsWith(pathPrefix) &&
        (!methods || methods.includes(head.method)),
    )
    .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0];
  return {
    service,
    route: route?.pathPrefix ?? '/',
    targetPath,
    idempotent: route?.idempotent ?? safeMethods.has(head.method),
  };
}

/** Maximum timeout that a caller may request, in milliseconds: one day. */
const maxTimeoutMs = 86_400_000;

function readTimeout(head: RequestHead): number | undefined {
  const values = head.headers['request-timeout-ms'];
  if (values === undefined) return undefined;
  const ms = /^\d{1,9}$/.test(values[0]) ? Number(values[0]) : 0;
  if (values.length > 1 || ms <= 0) {
    throw refused(
      'malformed-request',
      'Request-Timeout-Ms is not a positive integer of at most 9 digits',
    );
  }
  return Math.min(ms, maxTimeoutMs);
}

function refused(reason: RefusalReason, detail?: string): FailureError {
  return new FailureError({kind: 'refused', reason, detail});
}
