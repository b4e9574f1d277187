import type {DutyCall, DutyCallResult} from './duty-platform.js';
import type {DutyRecord, PositionedRecord} from './duty-record.js';

/** What the holder of the duties can do while its term lasts. */
export interface HeldDuties {
  /**
   * Appends records under the condition that no other host has taken over. Success extends the term.
   *
   * @param records - Records to append, all or none.
   * @returns Whether they were appended.
   */
  record(records: readonly DutyRecord[]): Promise<boolean>;

  /**
   * Makes a call to the platform if the term covers it until its end.
   *
   * @param call - Call to make.
   */
  call(call: DutyCall): Promise<DutyCallResult>;
}

/** One duty, performed by the host that holds the duties. */
export abstract class DutyTask {
  /**
   * Called when this host has taken over, with the newest record of each key, and again after the log was read again.
   *
   * @param records - Records of all duties.
   */
  abstract adopt(records: readonly PositionedRecord[]): void;

  /**
   * Performs what is due. Called at intervals while this host holds the duties, one task after the other.
   *
   * @param held - Records and calls of the term.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  abstract run(held: HeldDuties, nowMs: number): Promise<void>;

  /** Called when this host no longer holds the duties. */
  abstract lost(): void;
}
