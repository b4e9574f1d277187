import type {IncomingMessage, ServerResponse} from 'node:http';

/** Handles the requests for one path or a group of paths. */
export abstract class RouteHandler {
  /** Whether the handler also serves requests while the host drains. */
  readonly servesWhileDraining: boolean = false;

  /**
   * Checks whether this handler serves a path.
   *
   * @param path - Path without query.
   * @returns Whether requests for the path go to this handler.
   */
  abstract matches(path: string): boolean;

  /**
   * Responds to a request.
   *
   * @param req - Request whose body was not read yet.
   * @param res - Response whose head was not sent yet.
   */
  abstract handle(req: IncomingMessage, res: ServerResponse): Promise<void>;
}
