import type {FailureTexts} from './catalogue.js';

/** Failures of the process itself. */
export type ProcessFailure = {
  kind: 'address-unavailable';
  address: string;
  port: number;
  reason: string;
};

/** Texts of the process failures. */
export const processFailures: FailureTexts<ProcessFailure> = {
  'address-unavailable': {
    title: 'Address unavailable',
    message: f => `cannot listen on ${f.address}:${f.port}: ${f.reason}`,
    hint: 'Check which process uses the port, and whether the address belongs to this machine.',
  },
};
