import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

/** HTTP server on loopback that stands in for an outside system. */
export abstract class HttpStandIn {
  private readonly server: Server = createServer((req, res) => {
    const url = new URL(req.url ?? '/', 'http://stand-in');
    this.serve(req, res, url).catch(() => res.destroy());
  });
  private port = 0;

  /** Base URL once the server listens. */
  get address(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /** Answers one request. */
  protected abstract answer(
    req: IncomingMessage,
    res: ServerResponse,
    url: URL,
  ): Promise<void>;

  /**
   * Carries out a command of `POST /control`, the way in which tests outside the process reach the
   * methods of a stand-in. A stand-in without commands keeps this one.
   *
   * @param _command - Command with its arguments.
   * @returns The answer, JSON, or `undefined` if the command does not exist.
   */
  protected control(_command: ControlCommand): unknown {
    return undefined;
  }

  /** Starts to listen; port 0 takes a free one. */
  listen(port = 0): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', () => {
        this.server.off('error', reject);
        this.port = (this.server.address() as AddressInfo).port;
        resolve();
      });
    });
  }

  /** Breaks all connections and stops. */
  close(): Promise<void> {
    return this.suspend();
  }

  /** Breaks all connections and refuses new ones until {@link HttpStandIn.resume}. */
  protected suspend(): Promise<void> {
    return new Promise(resolve => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  /** Listens again on the same port. */
  protected resume(): Promise<void> {
    return this.listen(this.port);
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
    url: URL,
  ): Promise<void> {
    if (url.pathname !== '/control') return this.answer(req, res, url);
    const command = (await readJson(req)) as ControlCommand;
    const result = this.control(command);
    if (result === undefined) {
      return sendJson(res, 400, {error: `unknown command ${command.do}`});
    }
    return sendJson(res, 200, result);
  }
}

/** Body of `POST /control`: the command's name in `do`, its arguments beside it. */
export interface ControlCommand {
  readonly do: string;
  readonly [argument: string]: unknown;
}

/** Reads a whole body. */
export async function readBody(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** Reads a JSON body. */
export async function readJson(req: IncomingMessage): Promise<unknown> {
  return JSON.parse((await readBody(req)).toString('utf8'));
}

/** Answers with JSON. */
export function sendJson(
  res: ServerResponse,
  status: number,
  value: unknown,
): void {
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(value));
}
