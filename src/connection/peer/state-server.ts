import type {Server, ServerResponse} from 'node:http';
import type {
  Endpoint,
  GatewaySettings,
} from '../../process/gateway-settings.js';
import {decodeStateCopy} from '../../version/deployment/state-copy-codec.js';
import type {StateCopy} from '../../version/deployment/state-copy.js';
import {HttpClient} from '../http/http-client.js';
import {createInternalServer} from '../http/internal-server.js';
import {listenOnce} from '../http/listen.js';

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
   * @param forHosts - Whether other hosts read the state here; otherwise only metrics are read.
   */
  constructor(
    readonly endpoint: Endpoint,
    copy: () => StateCopy,
    metrics: () => Promise<string>,
    readonly forHosts = true,
  ) {
    const render = async (path: string | undefined, res: ServerResponse) => {
      if (path === statePath) {
        const text = JSON.stringify(copy());
        res.setHeader('content-type', 'application/json');
        return text;
      }
      if (path === metricsPath) return await metrics();
      res.statusCode = 404;
      return '';
    };
    this.server = createInternalServer((req, res) => {
      void render(req.url, res)
        .catch((err: Error) => {
          process.emitWarning(err);
          res.statusCode = 500;
          return err.message;
        })
        .then(text => res.end(text));
    });
  }

  /** Starts to listen. */
  listen(): Promise<void> {
    return listenOnce(this.server, this.endpoint);
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
  const servers: StateServer[] = [];
  if (peers) servers.push(new StateServer(peers, copy, metrics));
  if (metricsPort !== undefined) {
    const endpoint = {address: ip, port: metricsPort};
    servers.push(new StateServer(endpoint, copy, metrics, false));
  }
  return servers;
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
