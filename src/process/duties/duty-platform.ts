import type {DutyRecord} from './duty-record.js';

/** The term in whose name a call is made. */
export interface DutyTerm {
  /** Name of the host that holds the duties. */
  readonly holder: string;
  /** Fencing number: one more than the position of the term's record. It rises with each term. */
  readonly token: number;
}

/** A call to the platform that one host at a time makes; it sends what was recorded before. */
export type DutyCall = Extract<
  DutyRecord,
  {readonly kind: 'usage' | 'pool-size'}
>;

/** How a call ended. */
export const dutyCallResults = {
  accepted: 'accepted',
  /** The platform takes no more calls for now; the call was not executed. */
  busy: 'busy',
  /** The platform refused the call. */
  refused: 'refused',
  /** No response came in time; the call may have been executed. */
  unanswered: 'unanswered',
  /** The term does not cover the call any longer; nothing was sent. */
  notHeld: 'not-held',
} as const;

/** One of {@link dutyCallResults}. */
export type DutyCallResult =
  (typeof dutyCallResults)[keyof typeof dutyCallResults];

/** Calls of the platform that only the holder of the duties makes. */
export abstract class DutyPlatform {
  /**
   * Makes a call once. It is never repeated by a library or from a queue: a repeat could arrive in the term of another
   * host.
   *
   * @param term - Term in whose name the call is made.
   * @param call - Call to make.
   * @param timeoutMs - Time after which the connection is reset, so that no byte of the call arrives later, in milliseconds.
   * @param isCovered - Asked again right before the bytes are sent, since a host may freeze while it connects.
   * @returns How it ended; the promise never rejects.
   */
  abstract call(
    term: DutyTerm,
    call: DutyCall,
    timeoutMs: number,
    isCovered: () => boolean,
  ): Promise<DutyCallResult>;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
