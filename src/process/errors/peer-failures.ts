import type {FailureTexts} from './catalogue.js';

/** Failures of connections between hosts. */
export type PeerFailure =
  | {kind: 'peer-unreachable'; host: string; reason: string}
  | {kind: 'peer-rejected'; host: string; reason: string}
  | {kind: 'peer-server-failed'; address: string; reason: string}
  | {kind: 'peer-certificate-unreadable'; file: string; reason: string};

/** Texts of the peer failures. */
export const peerFailures: FailureTexts<PeerFailure> = {
  'peer-unreachable': {
    title: 'Host unreachable',
    message: f => `cannot reach host "${f.host}": ${f.reason}`,
    hint: 'Check the network between the hosts and the peer address in the settings.',
  },
  'peer-rejected': {
    title: 'Host rejected',
    message: f => `rejected a link from host "${f.host}": ${f.reason}`,
    hint: 'Check the fleet name, protocol version and certificates of that host.',
  },
  'peer-server-failed': {
    title: 'Peer server did not start',
    message: f => `cannot listen for other hosts on ${f.address}: ${f.reason}`,
    hint: 'Check peers.address and peers.port in the settings, and whether the port is in use.',
  },
  'peer-certificate-unreadable': {
    title: 'Peer certificate unreadable',
    message: f => `cannot read "${f.file}": ${f.reason}`,
    hint: 'Check caFile, certFile and keyFile below peers.tls in the settings.',
  },
};
