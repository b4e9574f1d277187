import {decideStep} from './decide-step.js';
import {
  allowedShare,
  type RolloutEntry,
  type RolloutPhase,
} from './rollout-state.js';
import {entryOf, readyPart, type RolloutView} from './rollout-view.js';

/** State of a rollout as shown to operators, by phase. */
export const statusNames = {
  pending: 'Pending',
  paused: 'Paused',
  queued: 'Queued',
  progressing: 'Progressing',
  completed: 'Completed',
  'taking-back': 'TakingBack',
  done: 'Done',
  'taken-back': 'TakenBack',
  refused: 'Refused',
  superseded: 'Superseded',
} as const satisfies Record<RolloutPhase | 'pending' | 'paused', string>;

/** Value of {@link statusNames}. */
export type StatusName = (typeof statusNames)[keyof typeof statusNames];

/** Local knowledge of this host that the rollout records do not contain. */
export interface StatusContext {
  /** Holder of the rollout lease according to the log. */
  readonly leader?: string;
  readonly logAvailable: boolean;
  /** Whether this host has stopped the new version on its own evidence. */
  readonly stoppedHere: boolean;
}

/** Status of a rollout, computed from its records and from current measurements. */
export interface RolloutStatus {
  readonly name: string;
  readonly service: string;
  readonly oldVersion: string;
  readonly newVersion: string;
  readonly state: StatusName;
  readonly reason?: string;
  readonly deadline: string;
  /** Number of the current step: 0 before the first, 1 for the first step. */
  readonly step: number;
  readonly steps: readonly number[];
  /** Maximum share of requests that the current step allows, 0 to 1. */
  readonly allowedShare: number;
  /** Share of requests that the new version received in the last few seconds, 0 to 1. */
  readonly measuredShare?: number;
  /** Share of the needed capacity that runs the new version and is ready, 0 to 1. */
  readonly readyPart: number;
  readonly requestsPerSecond: number;
  readonly evidence: {
    readonly requests: number;
    readonly failures: number;
    /** Logarithm of the strongest evidence of harm, and the threshold of a stop. */
    readonly harm: number;
    readonly harmNeeded: number;
    /** Metric and stratum whose evidence stopped the version. */
    readonly stop?: string;
  };
  /** Evidence recorded with the last change, the host that made it, and its time. */
  readonly decision: string;
  readonly decidedBy: string;
  readonly decidedAt?: string;
  readonly leader?: string;
  readonly stoppedHere: boolean;
  readonly waitsFor: readonly string[];
}

/**
 * Computes the status of a rollout.
 *
 * @param view - State of the rollouts and current measurements.
 * @param context - Local knowledge of this host.
 * @returns The status as shown to operators.
 */
export function rolloutStatus(
  view: RolloutView,
  context: StatusContext,
): RolloutStatus {
  const entry = entryOf(view);
  const {spec, name} = view.declared;
  const {verdict} = view;
  const reason = entry?.takeBackReason ?? entry?.refuseReason;
  return {
    name,
    service: spec.service,
    oldVersion: entry?.oldVersion || view.serviceVersion,
    newVersion: spec.version,
    state: stateOf(entry),
    ...(reason && {reason}),
    deadline: spec.deadline,
    step: (entry?.step ?? -1) + 1,
    steps: entry?.steps ?? [],
    allowedShare: entry && !context.stoppedHere ? allowedShare(entry) : 0,
    ...(verdict.measuredShare !== undefined && {
      measuredShare: verdict.measuredShare,
    }),
    readyPart: entry ? readyPart(view.targets, entry) : 0,
    requestsPerSecond: verdict.requestsPerSecond,
    evidence: {
      requests: verdict.requests,
      failures: verdict.failures,
      harm: verdict.harm.logEvidence,
      harmNeeded: verdict.harm.needed,
      ...(verdict.stop && {
        stop: `${verdict.stop.metric} ${verdict.stop.stratum}`,
      }),
    },
    decision: entry?.evidence ?? '',
    decidedBy: entry?.decidedBy ?? '',
    ...(entry && {decidedAt: new Date(entry.changedAtMs).toISOString()}),
    ...(context.leader !== undefined && {leader: context.leader}),
    stoppedHere: context.stoppedHere,
    waitsFor: waitReasons(view, context),
  };
}

function stateOf(entry: RolloutEntry | undefined): StatusName {
  if (!entry) return statusNames.pending;
  if (entry.phase === 'progressing' && entry.paused) return statusNames.paused;
  return statusNames[entry.phase];
}

function waitReasons(view: RolloutView, context: StatusContext): string[] {
  const decisions = decideStep(view);
  const found: string[] = [];
  let recordPending = false;
  for (const decision of decisions) {
    if (decision.kind === 'wait') found.push(decision.reason);
    if (decision.kind === 'record') recordPending = true;
  }
  if (recordPending) {
    if (!context.logAvailable) found.push('the log service');
    else if (context.leader === undefined) found.push('a leader');
    else found.push(`the leader, ${context.leader}, to record the next change`);
  }
  return found;
}
