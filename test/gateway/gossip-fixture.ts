import {emptyReport} from '../../src/process/crashes/crash-report.js';
import type {GossipMessage} from '../../src/process/fleet/gossip-message.js';

/** Parts of a message of a host that has nothing to report. */
export const nothingToReport: Pick<
  GossipMessage,
  | 'leaving'
  | 'storeReachable'
  | 'targetReports'
  | 'statements'
  | 'used'
  | 'crashReport'
  | 'evidence'
  | 'phases'
> = {
  leaving: false,
  storeReachable: true,
  targetReports: {},
  statements: [],
  used: {},
  crashReport: emptyReport,
  evidence: new Map(),
  phases: new Map(),
};
