import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {FailureError} from '../../process/errors/catalogue.js';
import type {Settings} from '../../process/settings.js';
import {listResources, type ConfigState} from '../../version/config-state.js';

/**
 * Recognises an operator by the token of a request.
 *
 * @param operators - Operators of the settings.
 * @param config - Configuration, to tell callers' keys from unknown credentials.
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
  // All digests are compared, so that the time does not tell which one was near.
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
