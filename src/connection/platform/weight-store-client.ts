import {FailureError} from '../../process/errors/catalogue.js';
import {isNonNegativeInteger, PlatformHttp} from './platform-http.js';

/** Time after which a call to the weight store is given up, in milliseconds. */
const callTimeoutMs = 5000;

/** Wish to load weights onto a target. */
export interface LoadRequest {
  readonly target: string;
  readonly version: string;
  /** Size of the weights, in bytes. */
  readonly bytes: number;
}

/** Answer of the weight store to a {@link LoadRequest}. */
export type LoadGrant =
  | {kind: 'granted'; bytesPerSecond: number}
  | {kind: 'later'; retryAfterMs: number};

/** Client of the platform's rate-limited weight store. */
export abstract class WeightStoreClient {
  /**
   * Asks for a load. The store counts a granted load until it should have ended, so a lost answer
   * costs a slot of the store, and asking again is safe.
   *
   * @param req - What to load and where to.
   * @param signal - Ends the call.
   * @returns Whether the load may start now.
   * @throws {@link FailureError} of kind `weight-store-unavailable`.
   */
  abstract requestLoad(
    req: LoadRequest,
    signal?: AbortSignal,
  ): Promise<LoadGrant>;
}

/** Weight store over HTTP with JSON bodies. */
export class HttpWeightStoreClient extends WeightStoreClient {
  private readonly http: PlatformHttp;

  /**
   * @param baseUrl - Base URL of the weight store.
   */
  constructor(baseUrl: string) {
    super();
    this.http = new PlatformHttp(baseUrl);
  }

  override async requestLoad(
    req: LoadRequest,
    signal?: AbortSignal,
  ): Promise<LoadGrant> {
    let answer;
    try {
      answer = await this.http.call({
        method: 'POST',
        path: '/loads',
        body: req,
        timeoutMs: callTimeoutMs,
        signal,
      });
    } catch (err) {
      throw unavailable((err as Error).message, err);
    }
    const {status, body} = answer;
    if (status !== 200) throw unavailable(`HTTP status ${status}`);
    const {retryAfterMs, grantedBytesPerSecond} = body;
    if (isNonNegativeInteger(retryAfterMs))
      return {kind: 'later', retryAfterMs};
    if (
      typeof grantedBytesPerSecond === 'number' &&
      grantedBytesPerSecond > 0
    ) {
      return {kind: 'granted', bytesPerSecond: grantedBytesPerSecond};
    }
    throw unavailable('answer is malformed');
  }

  /** Closes the connections to the weight store. */
  async close(): Promise<void> {
    await this.http.close();
  }
}

function unavailable(reason: string, cause?: unknown): FailureError {
  return new FailureError({kind: 'weight-store-unavailable', reason}, {cause});
}
