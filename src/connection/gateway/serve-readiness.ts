import type {Server} from 'node:http';
import type {Endpoint} from '../../process/gateway-settings.js';
import {createInternalServer} from '../http/internal-server.js';
import {listenOnce} from '../http/listen.js';

/**
 * Serves the readiness probe of the load balancer: 200 if the host is ready, 503 if not.
 *
 * @param endpoint - Address and port to listen on.
 * @param path - Path of the probe; other paths get 404.
 * @param isReady - Returns whether the host accepts new connections.
 * @returns The server, once it listens.
 */
export async function serveReadiness(
  endpoint: Endpoint,
  path: string,
  isReady: () => boolean,
): Promise<Server> {
  const server = createInternalServer((req, res) => {
    const isReadinessPath = req.url?.split('?', 1)[0] === path;
    res.statusCode = isReadinessPath ? (isReady() ? 200 : 503) : 404;
    res.end();
  });
  await listenOnce(server, endpoint);
  return server;
}
