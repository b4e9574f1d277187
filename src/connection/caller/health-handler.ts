import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Metrics} from '../../process/metrics.js';
import {RouteHandler} from './route-handler.js';

/** Serves `/healthz`, `/readyz` and `/metrics`. */
export class HealthHandler extends RouteHandler {
  override readonly servesWhileDraining = true;
  private readonly paths = new Set(['/healthz', '/readyz', '/metrics']);

  /**
   * @param metrics - Metrics to render.
   * @param ready - Returns whether the host accepts new requests.
   */
  constructor(
    private readonly metrics: Metrics,
    private readonly ready: () => boolean,
  ) {
    super();
  }

  override matches(path: string): boolean {
    return this.paths.has(path);
  }

  override async handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const path = (req.url ?? '/').split('?', 1)[0];
    if (path === '/metrics') {
      res.setHeader('content-type', this.metrics.registry.contentType);
      res.end(await this.metrics.render());
      return;
    }
    const ok = path === '/healthz' || this.ready();
    res.statusCode = ok ? 200 : 503;
    res.setHeader('content-type', 'text/plain');
    res.end(ok ? 'ok\n' : 'not ready\n');
  }
}
