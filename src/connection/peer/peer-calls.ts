import {
  Metadata,
  status,
  type Client,
  type ClientUnaryCall,
  type MethodDefinition,
  type sendUnaryData,
  type ServerUnaryCall,
  type ServiceError,
} from '@grpc/grpc-js';
import type {Cancel, Clock} from '../../process/clock.js';
import {FailureError} from '../../process/errors/catalogue.js';
import {inputRead} from '../../process/input-read.js';
import {certifiesHost, type PeerCredentials} from './peer-credentials.js';
import type {PeerServer} from './peer-server.js';
import {loadProto} from './proto.js';

const definition = loadProto('peer-services.proto', 'guavaseam.PeerServices');

/** Names of the unary calls. */
export type PeerMethod = 'Claim' | 'Answer' | 'Snapshot';

/** Calls that are served at once; further ones are refused, so that a flood takes bounded memory. */
const maxServed = 512;

/** What {@link PeerCalls} uses. */
export interface PeerCallsParts {
  readonly fleet: string;
  /** Id of this host. */
  readonly host: string;
  readonly clock: Clock;
  readonly mode: PeerCredentials['mode'];
  /** Gives out the client of a host, or `undefined` if its address is not known. */
  readonly client: (host: string) => Client | undefined;
  /** Called with the claimed host and the reason when a call is refused. */
  readonly onRejected?: (host: string, reason: string) => void;
}

/**
 * Answers one call.
 *
 * @param request - Decoded message.
 * @param host - Id of the calling host, as certified.
 * @returns The reply.
 * @throws {@link MalformedCall} if the message is not valid.
 */
export type PeerHandler<Request, Reply> = (
  request: Request,
  host: string,
) => Promise<Reply> | Reply;

/** A message does not hold what its method needs. */
export class MalformedCall extends Error {}

/** Unary gRPC calls between hosts, certified in both directions. */
export class PeerCalls {
  private readonly handlers = new Map<
    PeerMethod,
    PeerHandler<unknown, unknown>
  >();
  private served = 0;

  /**
   * @param parts - Connections of this host.
   */
  constructor(private readonly parts: PeerCallsParts) {}

  /**
   * Sets the handler of a method.
   *
   * @param method - Name of the method.
   * @param handler - Handler of the decoded message.
   */
  handle<Request, Reply>(
    method: PeerMethod,
    handler: PeerHandler<Request, Reply>,
  ): void {
    this.handlers.set(method, handler as PeerHandler<unknown, unknown>);
  }

  /**
   * Adds the service to a server.
   *
   * @param server - Server that does not listen yet.
   */
  serve(server: PeerServer): void {
    const accept =
      (method: PeerMethod) =>
      (
        call: ServerUnaryCall<unknown, unknown>,
        reply: sendUnaryData<unknown>,
      ) =>
        void this.accept(method, call, reply);
    server.addService(definition, {
      Claim: accept('Claim'),
      Answer: accept('Answer'),
      Snapshot: accept('Snapshot'),
    });
  }

  /**
   * Calls another host.
   *
   * @param method - Name of the method.
   * @param host - Id of the host.
   * @param message - Message to send.
   * @param timeoutMs - Longest wait for the reply, in milliseconds.
   * @returns The reply.
   * @throws {@link FailureError} of kind `peer-unreachable`; the call may have taken effect. Of
   *   kind `peer-rejected` if the certificate of the other end names another host.
   */
  call<Request, Reply>(
    method: PeerMethod,
    host: string,
    message: Request,
    timeoutMs: number,
  ): Promise<Reply> {
    const {fleet, host: self, clock, mode} = this.parts;
    const client = this.parts.client(host);
    if (!client) return Promise.reject(unreachable(host, 'unknown address'));
    const {path, requestSerialize, responseDeserialize} = definition[
      method
    ] as MethodDefinition<Request, Reply>;
    const metadata = new Metadata();
    metadata.set('fleet', fleet);
    metadata.set('host', self);
    return new Promise((resolve, reject) => {
      let cancel: Cancel = () => {};
      const end = (err: ServiceError | null, reply?: Reply) => {
        cancel();
        if (err) return reject(unreachable(host, err.details));
        if (reply === undefined) return reject(unreachable(host, 'no reply'));
        if (certified) return resolve(reply);
        const reason = 'the certificate names another host';
        reject(new FailureError({kind: 'peer-rejected', host, reason}));
      };
      let certified = false;
      const call: ClientUnaryCall = client.makeUnaryRequest(
        path,
        requestSerialize,
        responseDeserialize,
        message,
        metadata,
        end,
      );
      // The connection and with it the certificate is known from the first answer on.
      call.once('metadata', () => {
        certified = certifiesHost(mode, call, host);
      });
      cancel = clock.after(
        timeoutMs,
        () => void inputRead().then(() => call.cancel()),
      );
    });
  }

  private async accept(
    method: PeerMethod,
    call: ServerUnaryCall<unknown, unknown>,
    reply: sendUnaryData<unknown>,
  ): Promise<void> {
    const host = String(call.metadata.get('host')[0] ?? '');
    const details = this.refusal(call, host);
    if (details !== undefined) {
      this.parts.onRejected?.(host, details);
      return reply({code: status.PERMISSION_DENIED, details});
    }
    const handler = this.handlers.get(method);
    if (!handler || this.served >= maxServed) {
      return reply({code: status.RESOURCE_EXHAUSTED, details: 'busy'});
    }
    this.served++;
    try {
      reply(null, await handler(call.request, host));
    } catch (err) {
      const malformed = err instanceof MalformedCall;
      const code = malformed ? status.INVALID_ARGUMENT : status.INTERNAL;
      reply({code, details: malformed ? err.message : 'the handler failed'});
    } finally {
      this.served--;
    }
  }

  private refusal(
    call: ServerUnaryCall<unknown, unknown>,
    host: string,
  ): string | undefined {
    const {fleet, host: self, mode} = this.parts;
    if (call.metadata.get('fleet')[0] !== fleet) {
      return 'the fleet has another name';
    }
    if (host === '' || host === self) return 'the host id is wrong';
    return certifiesHost(mode, call, host)
      ? undefined
      : 'the certificate names another host';
  }
}

function unreachable(host: string, reason: string): FailureError {
  return new FailureError({kind: 'peer-unreachable', host, reason});
}
