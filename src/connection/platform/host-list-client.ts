import {FailureError} from '../../process/errors/catalogue.js';
import {PlatformHttp} from './platform-http.js';

/** Timeout of a call to the host list, in milliseconds. */
const callTimeoutMs = 3000;

/** A host in the platform's list. The list may be out of date. */
export interface ListedHost {
  readonly id: string;
  readonly zone: string;
  /** Address at which other hosts connect to it, `IP:PORT`. */
  readonly address: string;
  readonly state: 'live' | 'leaving';
}

/** Client of the platform's list of hosts. */
export abstract class HostListClient {
  /**
   * Reads the list of hosts.
   *
   * @param signal - Aborts the call.
   * @returns Live and leaving hosts that the platform knows of.
   * @throws {@link FailureError} of kind `host-list-unavailable`.
   */
  abstract hosts(signal?: AbortSignal): Promise<readonly ListedHost[]>;
}

/** Reads the host list over HTTP with JSON bodies. */
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
    let response;
    try {
      response = await this.http.call({
        method: 'GET',
        path: '/hosts',
        timeoutMs: callTimeoutMs,
        signal,
      });
    } catch (err) {
      throw unavailable((err as Error).message, err);
    }
    if (response.status !== 200) {
      throw unavailable(`HTTP status ${response.status}`);
    }
    const {hosts} = response.body;
    if (!Array.isArray(hosts) || !hosts.every(isHost)) {
      throw unavailable('response is malformed');
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
