import type {Resource} from '../resources/kinds.js';
import {ConditionSource, type Condition} from '../status/resource-status.js';
import type {Clock} from '../../process/clock.js';
import type {RolloutStatus} from './status.js';

/** Final states of a rollout. `Completed` is not one: its watch period is still running. */
const ended: readonly string[] = ['Done', 'TakenBack', 'Refused', 'Superseded'];

/** Reports whether a rollout has ended, as condition `Finished` for programs that wait for it. */
export class FinishedCondition extends ConditionSource {
  /**
   * @param rollout - Computes the status of a rollout, by its name.
   * @param clock - Clock of the process.
   */
  constructor(
    private readonly rollout: (name: string) => RolloutStatus | undefined,
    private readonly clock: Clock,
  ) {
    super();
  }

  override conditions({kind, name}: Resource): readonly Condition[] {
    if (kind !== 'rollout') return [];
    const now = new Date(this.clock.wallMs()).toISOString();
    const status = this.rollout(name);
    if (!status) {
      return [
        {
          type: 'Finished',
          status: 'False',
          reason: 'StrategyNotRun',
          message: 'hosts run rollouts of strategy surge only',
          time: now,
        },
      ];
    }
    const {state, reason, decidedAt, waitsFor} = status;
    const details = reason ?? waitsFor.join(', ');
    return [
      {
        type: 'Finished',
        status: ended.includes(state) ? 'True' : 'False',
        reason: state,
        message: details ? `${state}: ${details}` : state,
        time: decidedAt ?? now,
      },
    ];
  }
}
