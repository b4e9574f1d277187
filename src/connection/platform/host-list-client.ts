import {FailureError} from '../../process/errors/catalogue.js';
import {PlatformHttp} from './platform-http.js';

/** Time after which a call to the host list is given up, in milliseconds. */
const callTimeoutMs = 3000;

/** A host as the platform lists it; the list lags behind. */
export interface ListedHost {
  readonly id: string;
  readonly zone: string;
  /** Address for other hosts, `IP:PORT`. */
  readonly address: string;
  readonly state: 'live' | 'leaving';
}

/** Client of the platform's list of hosts. */
export abstract class HostListClient {
  /**
   * Reads the list.
   *
   * @param signal - Ends the call.
   * @returns Live and leaving hosts, as far as the platform knows.
   * @throws {@link FailureError} of kind `host-list-unavailable`.
   */
  abstract hosts(signal?: AbortSignal): Promise<readonly ListedHost[]>;
}

/** Host list over HTTP with JSON bodies. */
export class HttpHostListClient extends HostListClient {
  private readonly http: PlatformHttp;

  /**
   * @param baseUrl - Base URL of the host list.
   */
  constructor(baseUrl: string) {
    super();
    this.http = new PlatformHttp(baseUrl);
  }

  override async hosts(signal?: AbortSignal): Promise<readonly ListedHost[]> {
    let answer;
    try {
      answer = await this.http.call({
        method: 'GET',
        path: '/hosts',
        timeoutMs: callTimeoutMs,
        signal,
      });
    } catch (err) {
      throw unavailable((err as Error).message, err);
    }
    if (answer.status !== 200) {
      throw unavailable(`HTTP status ${answer.status}`);
    }
    const {hosts} = answer.body;
    if (!Array.isArray(hosts) || !hosts.every(isHost)) {
      throw unavailable('answer is malformed');
    }
    return hosts;
  }

  /** Closes the connections to the host list. */
  async close(): Promise<void> {
    await this.http.close();
  }
}

function isHost(value: unknown): value is ListedHost {
  const {id, zone, address, state} = (value ?? {}) as Partial<ListedHost>;
  return (
    typeof id === 'string' &&
    typeof zone === 'string' &&
    typeof address === 'string' &&
    (state === 'live' || state === 'leaving')
  );
}

function unavailable(reason: string, cause?: unknown): FailureError {
  return new FailureError({kind: 'host-list-unavailable', reason}, {cause});
}
