import type {TargetEntry} from '../../version/deployment/types.js';
import type {Clock} from '../clock.js';
import type {Logger} from '../logger.js';
import type {ConnectionEvidence} from '../reach/connection-evidence.js';
import type {TargetPaces} from './pace/target-paces.js';
import type {CandidateParts} from './target-candidates.js';

/** Dependencies of the pool. */
export interface TargetPoolParts extends CandidateParts {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called when a request is about to be sent to a target. */
  readonly onSend: (entry: TargetEntry) => void;
  readonly host: string;
  readonly zone: string;
  readonly onConnect: () => void;
  /** Creates what receives the evidence of one connection about whether targets are reached. */
  readonly watch?: (entry: TargetEntry) => ConnectionEvidence;
  /** Called for each request to a target that is known to be cold. */
  readonly onColdSend?: () => void;
  /** Called with the number of requests of this host that one brittle target turned away within a second. */
  readonly onBrittleRejections?: (count: number) => void;
  /** Paces of targets; absent if they are not used. */
  readonly paces?: TargetPaces;
}
