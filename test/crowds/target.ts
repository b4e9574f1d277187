import {once} from 'node:events';
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {StoreServer} from './store.js';

/** Interval at which a target writes its entry, in milliseconds; the settings state it as `heartbeatMs`. */
export const heartbeatMs = 1200;

/** Writes the answer to a request whose body was read. */
export type Answer = (res: ServerResponse) => void;

/** A target that reads each request completely and then answers. */
export class Target {
  /** Number of requests that arrived. */
  requests = 0;
  /** Size of the last body that arrived completely, in bytes. */
  lastBodyBytes = 0;
  readonly sockets = new Set<Socket>();
  private readonly server = createServer((req, res) => this.serve(req, res));
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param id - Instance id, unique among targets.
   * @param service - Service that it belongs to.
   * @param answer - Writes the answer.
   */
  constructor(
    private readonly id: string,
    readonly service: string,
    private readonly answer: Answer,
  ) {
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  /** Listens on a free port of loopback and returns `IP:PORT`. */
  async listen(): Promise<string> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    const {port} = this.server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Listens and writes its entry to the store until it is closed. */
  async start(store: StoreServer, slots: number): Promise<void> {
    const address = await this.listen();
    const born = Date.now();
    let sequence = 0;
    const beat = () =>
      store.put('keyed.servers', this.id, {
        service: this.service,
        address,
        zone: 'a',
        version: 'v1',
        slots,
        state: 'ready',
        coldRemainingMs: 0,
        sequence: sequence++,
        born,
      });
    beat();
    this.timer = setInterval(beat, heartbeatMs);
  }

  close(): void {
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private serve(req: IncomingMessage, res: ServerResponse): void {
    this.requests++;
    const id = req.headers['x-request-id'];
    let bytes = 0;
    req.on('data', (chunk: Buffer) => (bytes += chunk.length));
    req.once('end', () => {
      if (id !== undefined) res.setHeader('x-request-id', id);
      res.setHeader('x-response-seal', `seal-${this.id}`);
      this.lastBodyBytes = bytes;
      this.answer(res);
    });
    req.on('error', () => {});
    res.on('error', () => {});
  }
}
