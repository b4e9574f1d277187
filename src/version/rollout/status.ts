import {decideStep} from './decide-step.js';
import {
  allowedShare,
  type RolloutEntry,
  type RolloutPhase,
} from './rollout-state.js';
import {entryOf, readyPart, type RolloutView} from './rollout-view.js';

/** States that are shown to operators. */
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

/** What this host knows besides the folded state. */
export interface StatusContext {
  /** Holder of the lease in the log. */
  readonly leader?: string;
  readonly logAvailable: boolean;
  /** Whether this host has stopped the version by itself. */
  readonly stoppedHere: boolean;
}

/** Status of a rollout, computed from the folded state and from measurements. */
export interface RolloutStatus {
  readonly name: string;
  readonly service: string;
  readonly oldVersion: string;
  readonly newVersion: string;
  readonly state: StatusName;
  readonly reason?: string;
  readonly deadline: string;
  /** Number of the step, 1 for the canary, 0 before it. */
  readonly step: number;
  readonly steps: readonly number[];
  /** Greatest share that the step allows. */
  readonly allowedShare: number;
  /** Share of requests that the new version really had in the last seconds. */
  readonly measuredShare?: number;
  /** Part of the needed capacity that runs the new version and is ready. */
  readonly readyPart: number;
  readonly requestsPerSecond: number;
  readonly evidence: {
    readonly requests: number;
    readonly failures: number;
    /** Logarithm of the strongest evidence of harm, and what a stop needs. */
    readonly harm: number;
    readonly harmNeeded: number;
    /** Metric and stratum of a stop. */
    readonly stop?: string;
  };
  /** Evidence given with the last change, and who made it. */
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
 * @param view - Folded state and measurements.
 * @param context - What else this host knows.
 * @returns The status.
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
    waitsFor: waits(view, context),
  };
}

function stateOf(entry: RolloutEntry | undefined): StatusName {
  if (!entry) return statusNames.pending;
  if (entry.phase === 'progressing' && entry.paused) return statusNames.paused;
  return statusNames[entry.phase];
}

function waits(view: RolloutView, context: StatusContext): string[] {
  const decisions = decideStep(view);
  const found: string[] = [];
  let records = false;
  for (const decision of decisions) {
    if (decision.kind === 'wait') found.push(decision.reason);
    if (decision.kind === 'record') records = true;
  }
  if (records) {
    if (!context.logAvailable) found.push('the log service');
    else if (context.leader === undefined) found.push('a leader');
    else found.push(`the leader, ${context.leader}, to record the next change`);
  }
  return found;
}
