import {createServer, type Server} from 'node:http';
import type {
  Endpoint,
  GatewaySettings,
} from '../../process/gateway-settings.js';
import {decodeStateCopy} from '../../version/deployment/state-copy-codec.js';
import type {StateCopy} from '../../version/deployment/state-copy.js';
import {HttpClient} from '../http/http-client.js';

const statePath = '/internal/state';
const metricsPath = '/metrics';
/** Time for the answer of another host, in milliseconds; a copy has at most some 100 KB. */
const answerTimeoutMs = 800;

/** Serves this host's metrics, and its state to other hosts. */
export class StateServer {
  private readonly server: Server;

  /**
   * @param endpoint - Where to listen.
   * @param copy - Copies the state.
   * @param metrics - Renders the metrics.
   */
  constructor(
    private readonly endpoint: Endpoint,
    copy: () => StateCopy,
    metrics: () => Promise<string>,
  ) {
    this.server = createServer((req, res) => {
      if (req.url === statePath) {
        res.setHeader('content-type', 'application/json');
        res.end(JSON.stringify(copy()));
      } else if (req.url === metricsPath) {
        void metrics().then(text => res.end(text));
      } else {
        res.statusCode = 404;
        res.end();
      }
    });
  }

  /** Starts to listen. */
  listen(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      const {address, port} = this.endpoint;
      this.server.listen(port, address, () => resolve());
    });
  }

  /** Closes all connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/**
 * Creates the state servers of a host: for other hosts, and for those who read its metrics.
 *
 * @param settings - Endpoints of the host.
 * @param copy - Copies the state.
 * @param metrics - Renders the metrics.
 */
export function createStateServers(
  {ip, metricsPort, peers}: GatewaySettings,
  copy: () => StateCopy,
  metrics: () => Promise<string>,
): StateServer[] {
  const endpoints = [
    peers,
    metricsPort === undefined ? undefined : {address: ip, port: metricsPort},
  ];
  return endpoints.flatMap(endpoint =>
    endpoint ? new StateServer(endpoint, copy, metrics) : [],
  );
}

/**
 * Reads the state of another host.
 *
 * @param endpoint - Where it listens.
 * @returns The copy, or `undefined` if the host gave none.
 * @throws {@link CallError}
 * @throws SyntaxError - If the copy is not valid.
 */
export async function fetchState(
  endpoint: Endpoint,
): Promise<StateCopy | undefined> {
  const caller = new HttpClient(endpoint, 1);
  try {
    const {status, body} = await caller.call({
      method: 'GET',
      path: statePath,
      timeoutMs: answerTimeoutMs,
    });
    if (status !== 200) return undefined;
    return decodeStateCopy(body.toString('utf8'));
  } finally {
    await caller.close();
  }
}
