import {Client, connectivityState} from '@grpc/grpc-js';
import {maxMessageBytes} from './peer-codec.js';
import type {PeerCredentials} from './peer-credentials.js';

/** Above this number, clients of hosts that are no longer connected are closed. */
const maxIdleClients = 256;

/** Gives out one shared, long-lived gRPC client for each peer address. */
export class PeerChannels {
  private readonly clients = new Map<string, Client>();

  /**
   * @param credentials - Credentials of this host.
   */
  constructor(private readonly credentials: PeerCredentials) {}

  /**
   * Gives out the client of an address. It connects with the first call and again after a failure.
   *
   * @param address - Address of the peer server, `IP:PORT`.
   * @returns The shared client; callers must not close it.
   */
  get(address: string): Client {
    let client = this.clients.get(address);
    if (!client) {
      if (this.clients.size >= maxIdleClients) this.prune();
      client = new Client(address, this.credentials.channel, {
        // The certificate is checked against the host id, so TLS needs a name that is no address.
        'grpc.ssl_target_name_override': 'guavaseam-peer',
        'grpc.default_authority': 'guavaseam-peer',
        'grpc.max_receive_message_length': maxMessageBytes,
        'grpc.initial_reconnect_backoff_ms': 200,
        'grpc.max_reconnect_backoff_ms': 2000,
        // A closed channel must not leave its dead connection to its successor.
        'grpc.use_local_subchannel_pool': 1,
        'grpc.client_idle_timeout_ms': 60_000,
        'grpc.enable_http_proxy': 0,
        'grpc.service_config_disable_resolution': 1,
      });
      this.clients.set(address, client);
    }
    return client;
  }

  /**
   * Gives up the connection to an address with all its calls; the next call opens another. A
   * connection across a healed partition can stay mute for a minute, until TCP sends again.
   *
   * @param address - Address of the peer server.
   */
  reset(address: string): void {
    this.clients.get(address)?.close();
    this.clients.delete(address);
  }

  /** Closes all connections. */
  close(): void {
    for (const address of [...this.clients.keys()]) this.reset(address);
  }

  private prune(): void {
    for (const [address, client] of this.clients) {
      const state = client.getChannel().getConnectivityState(false);
      if (state === connectivityState.IDLE) this.reset(address);
    }
  }
}
