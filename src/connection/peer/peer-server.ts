import {
  Server,
  type ServiceDefinition,
  type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import {FailureError} from '../../process/errors/catalogue.js';
import type {ListenSettings} from '../../process/settings.js';
import {maxMessageBytes} from './peer-codec.js';
import type {PeerCredentials} from './peer-credentials.js';

/** gRPC server for other hosts. */
export class PeerServer {
  private readonly server = new Server({
    'grpc.max_receive_message_length': maxMessageBytes,
    'grpc.max_concurrent_streams': 64,
  });

  /**
   * Adds a service; to be called before `listen`.
   *
   * @param definition - Service definition.
   * @param implementation - Handlers by method name.
   */
  addService(
    definition: ServiceDefinition,
    implementation: UntypedServiceImplementation,
  ): void {
    this.server.addService(definition, implementation);
  }

  /**
   * Opens the server.
   *
   * @param listen - Address and port; port 0 takes a free one.
   * @param credentials - Credentials of this host.
   * @returns The port.
   * @throws {@link FailureError} of kind `peer-server-failed`.
   */
  listen(
    {address, port}: ListenSettings,
    credentials: PeerCredentials,
  ): Promise<number> {
    const host = address.includes(':') ? `[${address}]` : address;
    return new Promise((resolve, reject) => {
      this.server.bindAsync(
        `${host}:${port}`,
        credentials.server,
        (err, bound) => {
          if (!err) return resolve(bound);
          const reason = err.message;
          reject(
            new FailureError(
              {kind: 'peer-server-failed', address: `${host}:${port}`, reason},
              {cause: err},
            ),
          );
        },
      );
    });
  }

  /** Breaks all streams and closes the server. */
  close(): void {
    this.server.forceShutdown();
  }
}
