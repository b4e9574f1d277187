import {nextLoads, type LoadOrder} from './in-place.js';
import {minStepMs, planRollout, rollbackTimeMs} from './plan.js';
import {
  activeRollout,
  isCanary,
  type RolloutChange,
  type RolloutEntry,
} from './rollout-state.js';
import {entryOf, readyPart, type RolloutView} from './rollout-view.js';

/** Next action of the leader of a rollout. */
export type RolloutDecision =
  | {readonly kind: 'record'; readonly change: RolloutChange}
  | LoadOrder
  | {readonly kind: 'wait'; readonly reason: string};

/** Measured share that counts as all requests; the rest may still be in flight. */
const completeShare = 0.99;

/**
 * Decides what the leader of a rollout does next.
 *
 * @param view - State of the rollouts and current measurements.
 * @returns Decisions, of which at most one is a record to write.
 */
export function decideStep(view: RolloutView): RolloutDecision[] {
  const entry = entryOf(view);
  if (!entry || entry.phase === 'queued') return admission(view, entry);
  switch (entry.phase) {
    case 'progressing':
      return progressing(view, entry);
    case 'completed':
      return watchPeriod(view, entry);
    case 'taking-back':
      return rollingBack(view, entry);
    case 'done':
      return remainingLoads(view, entry, entry.spec.version);
    case 'taken-back':
    case 'superseded':
      return remainingLoads(view, entry, entry.oldVersion);
    case 'refused':
      return [];
  }
}

/** Decides whether a declared rollout is started, queued or refused. */
function admission(
  view: RolloutView,
  entry: RolloutEntry | undefined,
): RolloutDecision[] {
  const {spec, name} = view.declared;
  const refuse = (
    reason: (RolloutChange & {type: 'refuse'})['reason'],
  ): RolloutDecision[] => [record({type: 'refuse', spec, reason})];
  if (view.state.banned.has(`${spec.service}/${spec.version}`))
    return refuse('version-taken-back');
  const other = activeRollout(view.state, spec.service);
  if (other && other.name !== name) {
    if (spec.onConflict === 'refuse' && !entry) return refuse('conflict');
    if (entry?.behind === other.name) return [wait(`rollout ${other.name}`)];
    return [record({type: 'queue', spec, behind: other.name})];
  }
  if (spec.control === 'take-back' || spec.control === 'pause')
    return [wait('the operator')];
  const oldVersion =
    view.state.inEffect.get(spec.service) ?? view.serviceVersion;
  if (oldVersion === spec.version) return refuse('already-in-effect');
  const plan = planRollout({
    spec,
    targets: view.targets,
    estimates: view.estimates,
    requestsPerSecond: view.verdict.requestsPerSecond,
    nowMs: view.wallMs,
  });
  if (!plan) return refuse('deadline-too-near');
  return [record({type: 'start', spec, oldVersion, steps: plan.steps})];
}

/** Decides whether a rollout grows to its next step or is completed. */
function progressing(
  view: RolloutView,
  entry: RolloutEntry,
): RolloutDecision[] {
  const rollback = rollbackChange(view, entry);
  if (rollback) return [record(rollback)];
  const {control} = view.declared.spec;
  if ((control === 'pause') !== entry.paused)
    return [record({type: control === 'pause' ? 'pause' : 'resume'})];
  if (entry.paused) return [wait('the operator to resume')];
  const ready = readyPart(view.targets, entry);
  const loads = loadsFor(view, entry);
  const next = entry.step + 1;
  if (entry.step < 0) {
    if (ready > 0)
      return [record({type: 'step', step: 0, evidence: 'canary'}), ...loads];
    return [...loads, wait('a ready target of the new version')];
  }
  const forced = control === 'force-forward';
  const reason = forced ? undefined : growthBlocker(view, entry, ready);
  if (reason) return [...loads, wait(reason)];
  if (next < entry.steps.length)
    return [
      record({type: 'step', step: next, evidence: evidenceText(view, forced)}),
    ];
  const blocker = completionBlocker(view, entry);
  if (blocker) return [...loads, wait(blocker)];
  return [record({type: 'complete', evidence: evidenceText(view, forced)})];
}

/** Returns the rollback record if the rollout has to be rolled back, by the strongest reason. */
function rollbackChange(
  view: RolloutView,
  entry: RolloutEntry,
): RolloutChange | undefined {
  const {stop} = view.verdict;
  if (stop) {
    const reason = entry.phase === 'completed' ? 'late-fault' : 'evidence';
    const evidence = `${stop.metric} ${stop.stratum}: ${stop.logEvidence.toFixed(1)} of ${stop.needed.toFixed(1)}`;
    return {type: 'take-back', reason, evidence};
  }
  const {declared} = view;
  if (declared.spec.control === 'take-back')
    return {type: 'take-back', reason: 'operator', evidence: ''};
  if (entry.phase === 'completed') return undefined;
  if (isSuperseded(view, entry))
    return {type: 'take-back', reason: 'superseded', evidence: ''};
  const rollbackMs = rollbackTimeMs(entry.spec, view.targets, view.estimates);
  const deadlineMs = Date.parse(declared.spec.deadline);
  if (view.wallMs >= deadlineMs - rollbackMs) {
    const missing = view.verdict.assessShare(1).missing.join(', ');
    return {type: 'take-back', reason: 'deadline', evidence: missing};
  }
  return undefined;
}

/** Checks whether a queued rollout of the service supersedes this one. */
function isSuperseded(view: RolloutView, entry: RolloutEntry): boolean {
  for (const other of view.state.entries.values()) {
    if (
      other.phase === 'queued' &&
      other.behind === entry.name &&
      other.spec.onConflict === 'supersede'
    )
      return true;
  }
  return false;
}

/** Returns the reason why the share cannot grow now, `undefined` if it can. */
function growthBlocker(
  view: RolloutView,
  entry: RolloutEntry,
  ready: number,
): string | undefined {
  const share = entry.steps[entry.step];
  const {verdict} = view;
  const canary = isCanary(entry);
  if (!canary && ready < share - 1e-9) return `targets for a share of ${share}`;
  if (view.wallMs - entry.stepAtMs < minStepMs) return 'counters of this step';
  // The limit on requests in flight may keep the share of a canary far below the allowed one.
  if (!canary && (verdict.measuredShare ?? 0) < share * 0.7)
    return `measured share ${(verdict.measuredShare ?? 0).toFixed(2)} to reach ${share}`;
  const next = entry.steps[entry.step + 1];
  // At the last step the old version has no requests to compare with; the harm tests continue.
  const assessment = verdict.assessShare(next ?? 1, next !== undefined);
  return assessment.ready ? undefined : assessment.missing.join(', ');
}

/** Returns the reason why the rollout cannot be completed now, `undefined` if it can. */
function completionBlocker(
  view: RolloutView,
  entry: RolloutEntry,
): string | undefined {
  const {version, strategy} = entry.spec;
  if (strategy === 'in-place') {
    const unfinished = view.targets.filter(
      target =>
        target.zoneIn &&
        (target.version !== version || !target.ready || target.loading),
    );
    if (unfinished.length > 0) return `${unfinished.length} targets to load`;
  }
  if ((view.verdict.measuredShare ?? 0) < completeShare)
    return 'requests to leave the old version';
  return undefined;
}

/** Chooses the targets that load the new version for the current step. */
function loadsFor(view: RolloutView, entry: RolloutEntry): LoadOrder[] {
  if (entry.spec.strategy !== 'in-place') return [];
  const share = entry.steps[Math.max(0, entry.step)];
  const size = view.targets.filter(target => target.zoneIn).length;
  // Targets for the next share load only after the evidence has allowed that share.
  return nextLoads(view, entry.spec.version, Math.ceil(size * share - 1e-9));
}

/** Decides whether a completed rollout is rolled back or its watch period ends. */
function watchPeriod(
  view: RolloutView,
  entry: RolloutEntry,
): RolloutDecision[] {
  const rollback = rollbackChange(view, entry);
  if (rollback) return [record(rollback)];
  const endMs =
    (entry.completedAtMs ?? 0) + entry.spec.watchPeriodSeconds * 1000;
  if (view.wallMs >= endMs) return [record({type: 'done'})];
  return [
    ...remainingLoads(view, entry, entry.spec.version),
    wait('the end of the watch period'),
  ];
}

/** Loads the old version and waits until neither targets nor requests use the new one. */
function rollingBack(
  view: RolloutView,
  entry: RolloutEntry,
): RolloutDecision[] {
  if (entry.spec.strategy === 'in-place') {
    const {version} = entry.spec;
    const unfinished = view.targets.filter(
      target =>
        target.zoneIn &&
        (target.version === version || target.loading !== undefined),
    );
    if (unfinished.length > 0)
      return [
        ...nextLoads(view, entry.oldVersion, Infinity, true),
        wait(`${unfinished.length} targets to load ${entry.oldVersion}`),
      ];
  }
  if (view.newInFlight > 0)
    return [wait(`${view.newInFlight} requests to end`)];
  return [record({type: 'taken-back'})];
}

/** Chooses targets that still lack the version in effect, such as those of a zone that returned. */
function remainingLoads(
  view: RolloutView,
  entry: RolloutEntry,
  version: string,
): LoadOrder[] {
  const {service, strategy} = entry.spec;
  if (strategy !== 'in-place') return [];
  if (view.state.inEffect.get(service) !== version) return [];
  const active = activeRollout(view.state, service);
  if (active && active.name !== entry.name) return [];
  return nextLoads(view, version, Infinity, true);
}

function evidenceText(view: RolloutView, forced: boolean): string {
  if (forced) return 'forced by the operator';
  const {requests, failures, harm} = view.verdict;
  return `${failures} failures in ${requests} requests, evidence of harm ${harm.logEvidence.toFixed(1)} of ${harm.needed.toFixed(1)}`;
}

function record(change: RolloutChange): RolloutDecision {
  return {kind: 'record', change};
}

function wait(reason: string): RolloutDecision {
  return {kind: 'wait', reason};
}
