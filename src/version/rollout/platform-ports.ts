import {
  engineOrderKinds,
  type EngineOrderClient,
} from '../../connection/platform/engine-order-client.js';
import type {WeightStoreClient} from '../../connection/platform/weight-store-client.js';
import {FailureError} from '../../process/errors/catalogue.js';
import {EngineOrders, LoadGate, type EngineVersion} from './ports.js';

/** Engine orders that are sent over the platform's engine API. */
export class ClientEngineOrders extends EngineOrders {
  /**
   * @param client - Client of the engine API.
   * @param addressOf - Looks up the base URL of a target; `undefined` if it is not declared.
   */
  constructor(
    private readonly client: EngineOrderClient,
    private readonly addressOf: (target: string) => string | undefined,
  ) {
    super();
  }

  override async read(target: string): Promise<EngineVersion> {
    const {version, loading} = await this.client.state(
      this.resolveTarget(target),
    );
    const next =
      loading?.order === engineOrderKinds.loadVersion
        ? loading.value
        : undefined;
    return {version, ...(next !== undefined && {loading: next})};
  }

  override async load(
    target: string,
    version: string,
    fencing: number,
  ): Promise<void> {
    const order = {order: engineOrderKinds.loadVersion, value: version};
    const result = await this.client.ensure(
      this.resolveTarget(target),
      fencing,
      order,
    );
    if (result.kind === 'busy')
      throw new FailureError({
        kind: 'order-failed',
        target,
        reason: `busy for another ${result.retryAfterMs} ms`,
      });
  }

  private resolveTarget(name: string): {name: string; address: string} {
    const address = this.addressOf(name);
    if (address === undefined)
      throw new FailureError({
        kind: 'order-failed',
        target: name,
        reason: 'the target is no longer declared',
      });
    return {name, address};
  }
}

/** Admission control over the API of the platform's weight store. */
export class ClientLoadGate extends LoadGate {
  /**
   * @param client - Client of the weight store.
   * @param bytesOf - Estimates the size of a version, in bytes.
   */
  constructor(
    private readonly client: WeightStoreClient,
    private readonly bytesOf: (version: string) => number,
  ) {
    super();
  }

  override async request(target: string, version: string): Promise<number> {
    const bytes = this.bytesOf(version);
    const grant = await this.client.requestLoad({target, version, bytes});
    return grant.kind === 'granted' ? 0 : grant.retryAfterMs;
  }
}
