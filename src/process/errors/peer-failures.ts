import type {FailureTexts} from './catalogue.js';

/** Failures between hosts. */
export type PeerFailure =
  | {kind: 'peer-unreachable'; host: string; reason: string}
  | {kind: 'peer-rejected'; host: string; reason: string};

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
    hint: 'Check fleet name, protocol version and certificates of that host.',
  },
};
