import type {ListedHost} from '../../src/connection/platform/host-list-client.js';
import type {TargetExecution} from '../../src/demo/tally.js';

/** An execution with its target's group and the wall-clock time at which it began. */
export interface SeenExecution extends TargetExecution {
  readonly zone: string;
  readonly service: string;
  readonly seenMs: number;
}

/** Sent by the stand-ins when they listen. */
export interface StandInsReady {
  readonly kind: 'ready';
  readonly platform: Readonly<Record<string, string>>;
}

/** What the bench asks of the stand-ins. */
export type StandInsOrder =
  | {kind: 'log'; down: boolean}
  | {kind: 'list-host'; host: ListedHost}
  | {kind: 'unlist-host'; id: string}
  | {kind: 'executions'};

/** Answer to the order `executions`. */
export interface ExecutionsReport {
  readonly kind: 'executions';
  readonly executions: readonly SeenExecution[];
}
