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

/** Picks the target with the fewest requests of this host; knows nothing of other hosts. */
export class LocalDispatcher extends Dispatcher {
  private readonly inFlight = new Map<string, number>();
  private sequence = 0;

  /**
   * @param config - Returns the current configuration.
   */
  constructor(private readonly config: () => ConfigState) {
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
      release: (_outcome: AttemptOutcome) => {
        this.inFlight.set(target.name, this.load(target) - 1);
      },
    };
  }

  private pick(req: QueuedRequest): TargetView | undefined {
    return this.usableTargets(req)
      .filter(target => this.load(target) < target.maxConcurrency)
      .sort((a, b) => this.load(a) - this.load(b))[0];
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
