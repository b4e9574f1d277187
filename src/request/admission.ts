import {createHash, randomUUID, timingSafeEqual} from 'node:crypto';
import {FailureError} from '../process/errors/catalogue.js';
import {
  getResource,
  listResources,
  type ConfigState,
} from '../version/config-state.js';
import type {
  OrganisationKey,
  Resource,
  Tier,
} from '../version/resources/kinds.js';
import type {RefusalReason} from './refusals.js';

/** Head of a caller's request. */
export interface RequestHead {
  readonly method: string;
  /** Path and query as received. */
  readonly url: string;
  readonly headers: Record<string, string | string[] | undefined>;
}

/** A request that was recognised and may be dispatched. */
export interface Admitted {
  /** Id of the request, unique in the fleet. */
  readonly id: string;
  readonly organisation: string;
  readonly weight: number;
  readonly tier: Tier;
  readonly service: Resource<'service'>;
  /** Route within the service. */
  readonly route: string;
  /** Path and query as sent to the target. */
  readonly targetPath: string;
  readonly idempotent: boolean;
  /** Value of `Idempotency-Key`, if any. */
  readonly key?: string;
  /** Time until the deadline, in milliseconds. */
  readonly timeoutMs: number;
}

const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS']);
const modelPaths = new Set(['/v1/chat/completions', '/v1/completions']);
const servicePath = /^\/services\/([a-z0-9-]+)(\/.*)?$/;

/**
 * Recognises a request.
 *
 * @param state - Current configuration.
 * @param head - Method, path and headers.
 * @param model - Value of `model` in the body, for model services.
 * @returns The admitted request.
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
  const idempotencyKey = head.headers['idempotency-key'];
  return {
    id: randomUUID(),
    organisation: organisation.name,
    weight: organisation.spec.weight,
    tier: key.tier,
    ...found,
    key: typeof idempotencyKey === 'string' ? idempotencyKey : undefined,
    timeoutMs: readTimeout(head) ?? found.service.spec.defaultTimeoutMs,
  };
}

function authenticate(
  state: ConfigState,
  head: RequestHead,
): {organisation: Resource<'organisation'>; key: OrganisationKey} {
  const token = /^Bearer (.+)$/.exec(
    String(head.headers['authorization'] ?? ''),
  );
  if (!token) throw refused('unauthenticated');
  const digest = createHash('sha256').update(token[1]).digest();
  for (const organisation of listResources(state, 'organisation')) {
    for (const key of organisation.spec.keys) {
      if (timingSafeEqual(digest, Buffer.from(key.sha256, 'hex'))) {
        return {organisation, key};
      }
    }
  }
  throw refused('unauthenticated');
}

function findModelService(
  state: ConfigState,
  head: RequestHead,
  path: string,
  model: string | undefined,
) {
  if (head.method !== 'POST') throw refused('method-not-allowed');
  const service = listResources(state, 'service').find(
    ({name, spec}) => spec.type === 'model' && (spec.model ?? name) === model,
  );
  if (!service) throw refused('unknown-service');
  return {service, route: path, targetPath: head.url, idempotent: true};
}

function findPlainService(state: ConfigState, head: RequestHead, path: string) {
  const match = servicePath.exec(path);
  if (!match) throw refused('unknown-route');
  const service = getResource(state, 'service', match[1]);
  if (!service || service.spec.type !== 'plain')
    throw refused('unknown-service');
  const targetPath = head.url.slice(`/services/${match[1]}`.length) || '/';
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

function readTimeout(head: RequestHead): number | undefined {
  const value = head.headers['request-timeout-ms'];
  if (value === undefined) return undefined;
  const ms = Number(value);
  if (!Number.isInteger(ms) || ms <= 0) {
    throw refused(
      'malformed-request',
      'Request-Timeout-Ms is not a positive integer',
    );
  }
  return ms;
}

function refused(reason: RefusalReason, detail?: string): FailureError {
  return new FailureError({kind: 'refused', reason, detail});
}
