import {Pool} from 'undici';
import {FailureError} from '../../process/errors/catalogue.js';
import {
  TargetClient,
  type TargetAnswer,
  type TargetRequest,
} from './target-client.js';

/** Error codes that are raised before any byte was written. */
const notStartedCodes = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Time in which a connection must be established, in milliseconds. */
const connectTimeoutMs = 1000;

/** Target over HTTP/1.1. */
export class HttpTargetClient extends TargetClient {
  private readonly pool: Pool;

  /**
   * @param name - Name of the target, for errors.
   * @param address - Base URL of the target.
   */
  constructor(
    private readonly name: string,
    address: string,
  ) {
    super();
    this.pool = new Pool(address, {
      connections: null,
      pipelining: 1,
      connect: {timeout: connectTimeoutMs},
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  override async send(
    req: TargetRequest,
    signal: AbortSignal,
  ): Promise<TargetAnswer> {
    try {
      const res = await this.pool.request({
        method: req.method as 'POST',
        path: req.path,
        headers: {...req.headers, 'x-request-id': req.attemptId},
        body: req.body.length > 0 ? req.body : null,
        signal,
      });
      return {status: res.statusCode, headers: res.headers, body: res.body};
    } catch (err) {
      throw this.toFailure(err as NodeJS.ErrnoException);
    }
  }

  override async close(): Promise<void> {
    await this.pool.destroy();
  }

  private toFailure(err: NodeJS.ErrnoException): FailureError {
    const target = this.name;
    if (err.code !== undefined && notStartedCodes.has(err.code)) {
      return new FailureError(
        {kind: 'target-unreachable', target, reason: err.code},
        {cause: err},
      );
    }
    return new FailureError(
      {kind: 'target-stream-broken', target, bytes: 0},
      {cause: err},
    );
  }
}
