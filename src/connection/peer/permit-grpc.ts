import {
  Metadata,
  status,
  type Client,
  type ClientDuplexStream,
  type ServerDuplexStream,
  type ServiceDefinition,
  type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import {maxBufferedBytes} from '../../process/groups/permit-limits.js';
import type {PermitFrame} from '../../process/groups/permit-messages.js';
import {
  fromWire,
  permitsMethod,
  permitsService,
  toWire,
  type WireFrame,
} from './permit-codec.js';
import {
  PermitTransport,
  type PermitLink,
  type PermitLinkHandlers,
} from './permit-transport.js';

/** What the transport needs of the gRPC connections between hosts. */
export interface GrpcPermitParts {
  readonly fleet: string;
  readonly host: string;
  /** Gives out the client of a host, or `undefined` if its address is not known. */
  readonly client: (host: string) => Client | undefined;
  /** Adds the service to the peer server. */
  readonly addService: (
    definition: ServiceDefinition,
    implementation: UntypedServiceImplementation,
  ) => void;
  /** Whether the other end of a stream may speak for a host. */
  readonly certifies: (
    call: ServerDuplexStream<WireFrame, WireFrame>,
    host: string,
  ) => boolean;
  /** Called with the claimed host and the reason when a stream is refused. */
  readonly onRejected?: (host: string, reason: string) => void;
}

type Stream =
  | ClientDuplexStream<WireFrame, WireFrame>
  | ServerDuplexStream<WireFrame, WireFrame>;

/** Links over the gRPC stream `Permits`. */
export class GrpcPermitTransport extends PermitTransport {
  /**
   * @param parts - Connections of this host.
   */
  constructor(private readonly parts: GrpcPermitParts) {
    super();
  }

  override connect(host: string, handlers: PermitLinkHandlers): PermitLink {
    const client = this.parts.client(host);
    if (!client) {
      queueMicrotask(() => handlers.closed('the address is not known'));
      return {send: () => {}, close: () => {}};
    }
    const metadata = new Metadata();
    metadata.set('fleet', this.parts.fleet);
    metadata.set('host', this.parts.host);
    const {path, requestSerialize, responseDeserialize} = permitsMethod;
    const stream = client.makeBidiStreamRequest(
      path,
      requestSerialize,
      responseDeserialize,
      metadata,
    );
    return new GrpcLink(
      stream,
      () => stream.cancel(),
      host,
      () => handlers,
    );
  }

  override listen(
    accept: (host: string, link: PermitLink) => PermitLinkHandlers,
  ): void {
    this.parts.addService(permitsService, {
      Permits: (stream: ServerDuplexStream<WireFrame, WireFrame>) => {
        const host = String(stream.metadata.get('host')[0] ?? '');
        const reason = this.refusal(stream, host);
        if (reason !== undefined) {
          this.parts.onRejected?.(host, reason);
          stream.emit('error', {
            code: status.PERMISSION_DENIED,
            details: reason,
          });
          return;
        }
        const link = new GrpcLink(
          stream,
          () => stream.end(),
          host,
          () => handlers,
        );
        const handlers = accept(host, link);
      },
    });
  }

  private refusal(
    stream: ServerDuplexStream<WireFrame, WireFrame>,
    host: string,
  ): string | undefined {
    const fleet = stream.metadata.get('fleet')[0];
    if (fleet !== this.parts.fleet) return 'the fleet has another name';
    if (host === '' || host === this.parts.host) return 'the host id is wrong';
    if (!this.parts.certifies(stream, host)) {
      return 'the certificate names another host';
    }
    return undefined;
  }
}

class GrpcLink implements PermitLink {
  private closed = false;

  constructor(
    private readonly stream: Stream,
    private readonly end: () => void,
    host: string,
    private readonly handlers: () => PermitLinkHandlers,
  ) {
    stream.on('data', (wire: WireFrame) => {
      if (!this.closed) this.handlers().frame(fromWire(wire, host));
    });
    stream.on('error', (err: Error) => this.fail(err.message));
    stream.on('end', () => this.fail('the other side closed the link'));
    stream.on('cancelled', () => this.fail('the connection broke'));
  }

  send(frame: PermitFrame): void {
    if (this.closed) return;
    this.stream.write(toWire(frame));
    if (this.stream.writableLength > maxBufferedFrames) {
      this.end();
      // The caller may be in the middle of a change, so the report comes later.
      queueMicrotask(() => this.fail('the other side does not keep up'));
    }
  }

  close(): void {
    if (this.closed) return;
    this.closed = true;
    this.end();
  }

  private fail(reason: string): void {
    if (this.closed) return;
    this.close();
    this.handlers().closed(reason);
  }
}

/** The stream counts objects, of which a request of common size has about 128 bytes. */
const maxBufferedFrames = maxBufferedBytes / 128;
