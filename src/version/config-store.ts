import type {LogRecord} from '../connection/platform/log-client.js';
import {Subject} from '../process/subject.js';
import {Task} from '../process/task.js';
import {
  emptyConfig,
  foldRecord,
  type ConfigRecord,
  type ConfigState,
  type FoldOutcome,
} from './config-state.js';

/** Name of the log stream that holds operators' writes. */
export const configStream = 'config';

/** Messages to the configuration store. */
export type ConfigMessage = {
  kind: 'records';
  records: readonly LogRecord[];
};

/** A record that was folded. */
export interface ConfigChange {
  readonly record: ConfigRecord;
  readonly offset: number;
  readonly outcome: FoldOutcome;
  /** Configuration after the record. */
  readonly state: ConfigState;
}

/** Folds the configuration stream. Records that were folded before are ignored. */
export class ConfigStore extends Task<ConfigMessage> {
  private current: ConfigState = emptyConfig;
  private readonly subject = new Subject<ConfigChange>();

  /** Each record after it was folded. */
  readonly changes = this.subject.stream;

  /** Configuration after all records folded so far. */
  get state(): ConfigState {
    return this.current;
  }

  protected override *run(): Generator<undefined, void, ConfigMessage> {
    for (;;) {
      const message = yield;
      for (const {offset, data} of message.records) this.fold(offset, data);
    }
  }

  private fold(offset: number, data: unknown): void {
    // A gap would mean that a record was skipped; the follower asks again from the old position.
    if (offset !== this.current.offset) return;
    const record = data as ConfigRecord;
    const {state, outcome} = foldRecord(this.current, record, offset);
    this.current = state;
    this.subject.next({record, offset, outcome, state});
  }
}
