import {createHash, timingSafeEqual} from 'node:crypto';
import {listResources, type ConfigState} from '../version/config-state.js';
import type {OrganisationKey, Resource} from '../version/resources/kinds.js';

/** A caller's key and the organisation that owns it. */
export interface KeyOwner {
  readonly organisation: Resource<'organisation'>;
  readonly key: OrganisationKey;
}

interface IndexedKey extends KeyOwner {
  readonly digest: Buffer;
}

/** Look-up tables for admission, built once for each change of the resources. */
export class ConfigIndex {
  private readonly keys = new Map<string, IndexedKey>();
  private readonly models = new Map<string, Resource<'service'>>();

  /**
   * @param state - Configuration to index.
   */
  constructor(state: ConfigState) {
    for (const organisation of listResources(state, 'organisation')) {
      this.addKeys(organisation);
    }
    for (const service of listResources(state, 'service')) {
      if (service.spec.type !== 'model') continue;
      const model = service.spec.model ?? service.name;
      if (!this.models.has(model)) this.models.set(model, service);
    }
  }

  /**
   * Finds the owner of a key. The map is searched by a prefix of the digest, whose timing reveals
   * nothing about the key; the full digest is compared in constant time.
   *
   * @param token - Key as sent by the caller.
   * @returns Organisation and key, or `undefined` if the key is unknown.
   */
  findKey(token: string): KeyOwner | undefined {
    const digest = createHash('sha256').update(token).digest();
    const found = this.keys.get(digestPrefix(digest));
    return found && timingSafeEqual(found.digest, digest) ? found : undefined;
  }

  /**
   * Finds the service that serves a model.
   *
   * @param model - Value of `model` in a request.
   * @returns The service, or `undefined` if no service has this model.
   */
  findModel(model: string): Resource<'service'> | undefined {
    return this.models.get(model);
  }

  private addKeys(organisation: Resource<'organisation'>): void {
    for (const key of organisation.spec.keys) {
      const digest = Buffer.from(key.sha256, 'hex');
      // A malformed digest must not become a key that a caller can match.
      if (digest.length !== 32) continue;
      this.keys.set(digestPrefix(digest), {organisation, key, digest});
    }
  }
}

const indexes = new WeakMap<ConfigState['resources'], ConfigIndex>();

/**
 * Returns the index of a configuration. It is built at the first use after a change of the resources
 * and cached for as long as they are in use.
 *
 * @param state - Configuration.
 * @returns Index of its resources.
 */
export function getConfigIndex(state: ConfigState): ConfigIndex {
  let index = indexes.get(state.resources);
  if (!index) {
    index = new ConfigIndex(state);
    indexes.set(state.resources, index);
  }
  return index;
}

function digestPrefix(digest: Buffer): string {
  return digest.toString('base64', 0, 16);
}
