import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {FailureError} from '../../process/errors/catalogue.js';
import type {Settings} from '../../process/settings.js';

/** Answers one path, or a family of paths. */
export abstract class RouteHandler {
  /**
   * Tells whether this handler answers a request.
   *
   * @param path - Path without query.
   * @returns Whether the request is this handler's.
   */
  abstract matches(path: string): boolean;

  /**
   * Answers a request.
   *
   * @param req - Request; its body was not read yet.
   * @param res - Response; its head was not sent yet.
   */
  abstract handle(req: IncomingMessage, res: ServerResponse): Promise<void>;
}

/** HTTP/1.1 server for callers and operators. */
export class CallerServer {
  private readonly server: Server;

  /**
   * @param cfg - Listening address and limits.
   * @param handlers - Handlers in the order in which they are asked.
   * @param fallback - Handler of all other paths.
   */
  constructor(
    private readonly cfg: Settings['callers'],
    private readonly handlers: readonly RouteHandler[],
    private readonly fallback: RouteHandler,
  ) {
    this.server = createServer(
      {
        maxHeaderSize: cfg.maxHeaderBytes,
        headersTimeout: cfg.headersTimeoutMs,
        requestTimeout: cfg.requestTimeoutMs,
      },
      (req, res) => void this.route(req, res),
    );
    this.server.maxConnections = cfg.maxConnections;
  }

  /**
   * Starts to listen.
   *
   * @returns The port that was taken.
   */
  listen(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.cfg.port, this.cfg.address, () => {
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Stops to listen and waits for the open requests to end. */
  close(): Promise<void> {
    return new Promise(resolve => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  private async route(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const path = (req.url ?? '/').split('?', 1)[0];
    const handler =
      this.handlers.find(candidate => candidate.matches(path)) ?? this.fallback;
    try {
      await handler.handle(req, res);
    } catch (err) {
      if (!(err instanceof FailureError)) throw err;
      res.destroy();
    }
  }
}
