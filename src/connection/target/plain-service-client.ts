import type {Dispatcher, Pool} from 'undici';
import {FailureError} from '../../process/errors/catalogue.js';
import {createPool, HttpTargetClient} from './http-target-client.js';
import type {TargetResponse, TargetRequest} from './target-client.js';

/** Client of a plain HTTP service, which supports neither resuming nor cancelling a request. */
export class PlainServiceClient extends HttpTargetClient {
  override readonly resumable = false;

  /**
   * Opens a new connection for each non-idempotent request. If the target closes a reused connection
   * while a request is sent on it, there is no way to know whether the target received the request.
   */
  private readonly freshConnections: Pool;

  /**
   * @param name - Name of the target, used in errors.
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
