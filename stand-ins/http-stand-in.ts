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
    this.answer(req, res, url).catch(() => res.destroy());
  });

  /** Base URL once the server listens. */
  get address(): string {
    const {port} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  /** Answers one request. */
  protected abstract answer(
    req: IncomingMessage,
    res: ServerResponse,
    url: URL,
  ): Promise<void>;

  /** Starts to listen; port 0 takes a free one. */
  listen(port = 0): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', () => resolve());
    });
  }

  /** Breaks all connections and stops. */
  close(): Promise<void> {
    return new Promise(resolve => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }
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
