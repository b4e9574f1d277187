import type {Dispatcher, Pool} from 'undici';
import {FailureError} from '../../process/errors/catalogue.js';
import {createPool, HttpTargetClient} from './http-target-client.js';
import type {TargetResponse, TargetRequest} from './target-client.js';

/** Plain HTTP service; it can neither resume nor cancel. */
export class PlainServiceClient extends HttpTargetClient {
  override readonly resumable = false;

  /**
   * Non-idempotent requests use a connection of their own. On a kept connection that the target
   * closes at the same moment, it could not be told whether the target saw the request.
   */
  private readonly freshConnections: Pool;

  /**
   * @param name - Name of the target, for errors.
   * @param address - Base URL of the target.
   */
  constructor(name: string, address: string) {
    super(name, address);
    this.freshConnections = createPool(address, 0);
  }

  override async cancel(): Promise<boolean> {
    return false;
  }

  override async resume(): Promise<TargetResponse> {
    throw new FailureError({
      kind: 'target-resume-refused',
      target: this.name,
      status: 501,
    });
  }

  override async close(): Promise<void> {
    await Promise.all([super.close(), this.freshConnections.destroy()]);
  }

  protected override connections(req: TargetRequest): Dispatcher {
    return req.idempotent ? super.connections(req) : this.freshConnections;
  }
}
