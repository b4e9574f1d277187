import type {Clock} from '../process/clock.js';
import {FailureError} from '../process/errors/catalogue.js';
import {
  getResource,
  listResources,
  type ConfigState,
} from '../version/config-state.js';
import {Dispatcher, type Grant} from './dispatcher.js';
import type {
  AttemptOutcome,
  QueuedRequest,
  TargetView,
} from './scheduler/types.js';

/** Time for which an unreachable target is passed over, in milliseconds. */
const downMs = 1000;

/** Picks the target with the fewest requests of this host; knows nothing of other hosts. */
export class LocalDispatcher extends Dispatcher {
  private readonly inFlight = new Map<string, number>();
  /** Time until which a target that could not be reached is passed over. */
  private readonly downUntilMs = new Map<string, number>();
  private sequence = 0;

  /**
   * @param config - Returns the current configuration.
   * @param clock - Clock of the process.
   */
  constructor(
    private readonly config: () => ConfigState,
    private readonly clock: Clock,
  ) {
    super();
  }

  override async acquire(req: QueuedRequest): Promise<Grant> {
    const target = this.pick(req);
    if (!target) throw new FailureError({kind: 'refused', reason: 'no-target'});
    this.inFlight.set(target.name, this.load(target) + 1);
    return {
      permitId: `local-${++this.sequence}`,
      target,
      cachedTokens: 0,
      preempted: new AbortController().signal,
      progress: () => {},
      release: (outcome: AttemptOutcome) => {
        this.inFlight.set(target.name, this.load(target) - 1);
        this.observe(target, outcome);
      },
    };
  }

  private pick(req: QueuedRequest): TargetView | undefined {
    const nowMs = this.clock.nowMs();
    const isDown = ({name}: TargetView) =>
      Number((this.downUntilMs.get(name) ?? 0) > nowMs);
    return this.usableTargets(req)
      .filter(target => this.load(target) < target.maxConcurrency)
      .sort((a, b) => isDown(a) - isDown(b) || this.load(a) - this.load(b))[0];
  }

  /** An unreachable target has no load, so without this it would attract every request. */
  private observe({name}: TargetView, {result}: AttemptOutcome): void {
    if (result === 'not-started' || result === 'crashed') {
      this.downUntilMs.set(name, this.clock.nowMs() + downMs);
    }
  }

  private load(target: TargetView): number {
    return this.inFlight.get(target.name) ?? 0;
  }

  private usableTargets(req: QueuedRequest): TargetView[] {
    const state = this.config();
    return listResources(state, 'target')
      .filter(({name, spec}) => {
        const zone = getResource(state, 'zone', spec.zone);
        return (
          spec.service === req.service &&
          spec.state !== 'leaving' &&
          zone?.spec.state !== 'out' &&
          !req.avoid.includes(name)
        );
      })
      .map(({name, spec}) => ({
        name,
        service: spec.service,
        zone: spec.zone,
        address: spec.address,
        version: spec.version,
        hardware: spec.hardware ?? '',
        maxConcurrency: spec.maxConcurrency,
        coldConcurrency: spec.coldConcurrency ?? 1,
        usable: true,
      }));
  }
}
