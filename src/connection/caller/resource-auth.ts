import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {FailureError} from '../../process/errors/catalogue.js';
import type {Settings} from '../../process/settings.js';
import {listResources, type ConfigState} from '../../version/config-state.js';

/**
 * Authenticates an operator by the bearer token of a request.
 *
 * @param operators - Operators from the settings, with the digests of their tokens.
 * @param config - Configuration, to distinguish callers' keys from unknown credentials.
 * @param req - Request with its headers.
 * @returns Name of the operator.
 * @throws {@link FailureError} of kind `operator-unauthenticated` or `operator-forbidden`.
 */
export function authenticateOperator(
  operators: Settings['operators'],
  config: ConfigState,
  req: IncomingMessage,
): string {
  const match = /^Bearer +(\S+)$/i.exec(req.headers.authorization ?? '');
  if (!match) throw new FailureError({kind: 'operator-unauthenticated'});
  const digest = createHash('sha256').update(match[1]).digest();
  let found: string | undefined;
  // Compares all digests, so that the timing does not reveal which one matched.
  for (const {name, sha256} of operators) {
    if (timingSafeEqual(digest, Buffer.from(sha256, 'hex'))) found ??= name;
  }
  if (found !== undefined) return found;
  let caller = false;
  for (const {spec} of listResources(config, 'organisation')) {
    for (const {sha256} of spec.keys) {
      if (timingSafeEqual(digest, Buffer.from(sha256, 'hex'))) caller = true;
    }
  }
  const kind = caller ? 'operator-forbidden' : 'operator-unauthenticated';
  throw new FailureError({kind});
}
