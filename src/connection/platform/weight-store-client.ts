import {FailureError} from '../../process/errors/catalogue.js';
import {isNonNegativeInteger, PlatformHttp} from './platform-http.js';

/** Timeout of a call to the weight store, in milliseconds. */
const callTimeoutMs = 5000;

/** Request for permission to load the weights of a version onto a target. */
export interface LoadRequest {
  readonly target: string;
  readonly version: string;
  /** Size of the weights, in bytes. */
  readonly bytes: number;
}

/** Response of the weight store to a {@link LoadRequest}. */
export type LoadGrant =
  | {kind: 'granted'; bytesPerSecond: number}
  | {kind: 'later'; retryAfterMs: number};

/** Client of the platform's rate-limited weight store. */
export abstract class WeightStoreClient {
  /**
   * Requests permission for a load. The store counts a granted load until its expected end, so a
   * lost response occupies a slot of the store until then, and retrying is safe.
   *
   * @param req - Weights to load and their target.
   * @param signal - Aborts the call.
   * @returns Granted bandwidth, or the delay after which to retry.
   * @throws {@link FailureError} of kind `weight-store-unavailable`.
   */
  abstract requestLoad(
    req: LoadRequest,
    signal?: AbortSignal,
  ): Promise<LoadGrant>;
}

/** Client of the weight store over HTTP with JSON bodies. */
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
    let response;
    try {
      response = await this.http.call({
        method: 'POST',
        path: '/loads',
        body: req,
        timeoutMs: callTimeoutMs,
        signal,
      });
    } catch (err) {
      throw unavailable((err as Error).message, err);
    }
    const {status, body} = response;
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
    throw unavailable('response is malformed');
  }

  /** Closes the connections to the weight store. */
  async close(): Promise<void> {
    await this.http.close();
  }
}

function unavailable(reason: string, cause?: unknown): FailureError {
  return new FailureError({kind: 'weight-store-unavailable', reason}, {cause});
}
