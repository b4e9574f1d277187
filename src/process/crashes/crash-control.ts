import type {GatewayMetrics} from '../gateway-metrics.js';
import type {TargetEntry} from '../../version/deployment/types.js';
import type {Logger} from '../logger.js';
import {BestExplanationRule} from './blame-rule.js';
import {CrashEvidence} from './crash-evidence.js';
import {CrashReporter, toEvidence, type CrashReport} from './crash-report.js';
import {IncarnationTracker} from './incarnation-tracker.js';
import {CrashWatch, type CrashWatchParts} from './crash-watch.js';

/** Maximum number of requests and prompt parts with evidence; about 1 MB. */
const maxFingerprints = 2000;
/** Time from a broken attempt to the crash of its target within which it is suspected, in milliseconds. */
const suspicionMs = 500;
/** Time in which a target that crashed starts again and its new entry is read, in milliseconds. */
const confirmationMs = 15_000;

/** Dependencies of the crash control of a gateway host. */
export interface CrashControlParts extends Omit<
  CrashWatchParts,
  'evidence' | 'onCrash'
> {
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  /** Called when this host saw a crash, which the other hosts should know soon. */
  readonly onLocalCrash: () => void;
}

/** Refuses requests that crash targets, with the evidence of all hosts. */
export interface CrashControl {
  readonly watch: CrashWatch;
  /** Fingerprints of the refused requests and prompt parts. */
  readonly blocked: ReadonlySet<string>;
  /** Compares the targets in force with those known before, to find those that were replaced. */
  observe(targets: Iterable<{readonly entry: TargetEntry}>): void;
  /** Builds the report for the next message to the other hosts. */
  report(): CrashReport;
  /** Applies a report of another host, composed at a time of this host's clock, in milliseconds. */
  merge(report: CrashReport, composedAtMs: number): void;
}

/**
 * Creates the crash control of a gateway host.
 *
 * @param parts - Dependencies.
 */
export function createCrashControl(parts: CrashControlParts): CrashControl {
  const {clock, logger, metrics, onLocalCrash} = parts;
  const evidence = new CrashEvidence({
    maxFingerprints,
    suspicionMs,
    confirmationMs,
    rule: new BestExplanationRule(),
  });
  const reporter = new CrashReporter(evidence);
  let logged = '';
  const logBlocked = () => {
    const blocked = [...evidence.blocked(clock.nowMs())];
    const text = blocked.join(' ');
    if (text === logged) return;
    logged = text;
    logger.event('blockedContentChanged', {blocked});
  };
  const watch = new CrashWatch({
    ...parts,
    evidence,
    onCrash: (target, suspects) => {
      metrics.targetCrashed();
      logger.event('targetCrashed', {target, suspects});
      logBlocked();
      onLocalCrash();
    },
  });
  const incarnations = new IncarnationTracker();
  return {
    watch,
    get blocked() {
      return evidence.blocked(clock.nowMs());
    },
    observe(targets) {
      for (const target of incarnations.observe(targets)) {
        watch.replaced(target);
      }
    },
    report() {
      logBlocked();
      return reporter.take(clock.nowMs());
    },
    merge(report, composedAtMs) {
      const nowMs = clock.nowMs();
      // A message without the time of its composition is dated by its arrival.
      const atMs = Number.isFinite(composedAtMs) ? composedAtMs : nowMs;
      evidence.merge(toEvidence(report, atMs));
    },
  };
}
