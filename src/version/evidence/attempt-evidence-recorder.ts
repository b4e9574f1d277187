import type {Clock} from '../../process/clock.js';
import {AttemptRecorder} from '../../request/recording-dispatcher.js';
import type {
  AttemptOutcome,
  TargetView,
} from '../../request/scheduler/types.js';
import type {EvidenceSample, EvidenceStore} from './evidence-store.js';
import {versionKey, type InFlightTable} from './in-flight-table.js';

const results: Partial<
  Record<AttemptOutcome['result'], EvidenceSample['result']>
> = {ok: 'ok', failed: 'failed', broken: 'failed', crashed: 'crashed'};

/** Records results and requests in flight of the attempts of this host, by version. */
export class AttemptEvidenceRecorder extends AttemptRecorder {
  /**
   * @param store - Counters of results.
   * @param inFlight - Counters of requests in flight.
   * @param clock - Clock of the process.
   */
  constructor(
    private readonly store: EvidenceStore,
    private readonly inFlight: InFlightTable,
    private readonly clock: Clock,
  ) {
    super();
  }

  override started({service, version}: TargetView): void {
    this.inFlight.add(versionKey(service, version), 1);
  }

  override ended(
    target: TargetView,
    route: string,
    outcome: AttemptOutcome,
  ): void {
    const {service, version, zone, name} = target;
    this.inFlight.add(versionKey(service, version), -1);
    const result = results[outcome.result];
    if (!result) return;
    const {firstTokenMs, totalMs, tokens} = outcome;
    const responded = result === 'ok' && firstTokenMs !== undefined;
    const sample: EvidenceSample = {
      service,
      version,
      route,
      zone,
      target: name,
      // Starts of targets are not known here, so only the first warm-up is excluded.
      targetEpoch: 0,
      result,
      ...(responded && {firstTokenMs}),
      ...(responded &&
        tokens > 1 && {tokenMs: (totalMs - firstTokenMs) / (tokens - 1)}),
    };
    this.store.record(sample, this.clock.wallMs());
  }
}
