import {readFileSync} from 'node:fs';
import {
  ChannelCredentials,
  ServerCredentials,
  type ServerDuplexStream,
} from '@grpc/grpc-js';
import {FailureError} from '../../process/errors/catalogue.js';
import type {Settings} from '../../process/settings.js';

type TlsSettings = Settings['peers']['tls'];
type PeerCertificate = NonNullable<
  NonNullable<
    ReturnType<ServerDuplexStream<unknown, unknown>['getAuthContext']>
  >['sslPeerCertificate']
>;

/** Credentials of this host for both ends of a link. */
export interface PeerCredentials {
  readonly mode: TlsSettings['mode'];
  readonly server: ServerCredentials;
  readonly channel: ChannelCredentials;
}

/**
 * Reads the certificates. With mode `mutual` both ends present a certificate of the fleet's CA
 * whose DNS subject alternative name (or common name, if there is none) is the host id. The
 * TLS layer checks the chain; {@link certifiesHost} checks the name against the claimed id,
 * because hosts are addressed by IP.
 *
 * @param tls - Settings.
 * @returns Credentials.
 * @throws {@link FailureError} of kind `peer-certificate-unreadable`.
 */
export function loadPeerCredentials(tls: TlsSettings): PeerCredentials {
  if (tls.mode === 'plain') {
    return {
      mode: 'plain',
      server: ServerCredentials.createInsecure(),
      channel: ChannelCredentials.createInsecure(),
    };
  }
  const [ca, cert, key] = [tls.caFile, tls.certFile, tls.keyFile].map(readPem);
  const pair = {private_key: key, cert_chain: cert};
  return {
    mode: 'mutual',
    server: ServerCredentials.createSsl(ca, [pair], true),
    channel: ChannelCredentials.createSsl(ca, key, cert, {
      checkServerIdentity: () => undefined,
    }),
  };
}

/**
 * Tells whether the other end of a stream may speak for a host.
 *
 * @param mode - TLS mode; with `plain` every claim is accepted.
 * @param call - Stream of either end, or any call with an authentication context.
 * @param host - Claimed host id.
 * @returns True if the certificate names the host.
 */
export function certifiesHost(
  mode: TlsSettings['mode'],
  call: {getAuthContext(): {sslPeerCertificate?: PeerCertificate} | null},
  host: string,
): boolean {
  if (mode === 'plain') return true;
  const certificate = call.getAuthContext()?.sslPeerCertificate;
  return certificate !== undefined && namesOf(certificate).includes(host);
}

function readPem(file = ''): Buffer {
  try {
    return readFileSync(file);
  } catch (err) {
    const reason = (err as NodeJS.ErrnoException).code ?? 'unknown error';
    throw new FailureError({kind: 'peer-certificate-unreadable', file, reason});
  }
}

function namesOf(certificate: PeerCertificate): string[] {
  const names = (certificate.subjectaltname ?? '')
    .split(', ')
    .filter(name => name.startsWith('DNS:'))
    .map(name => name.slice('DNS:'.length));
  if (names.length > 0) return names;
  const common = certificate.subject?.CN as string | undefined;
  return common ? [common] : [];
}
