/** Duties towards the platform that one host at a time performs for all. */
export const duties = {
  /** Reports how many requests of each organisation began in each window of time. */
  usage: 'usage',
  /** Orders the number of targets of a service in each zone. */
  poolSize: 'pool-size',
} as const;

/** One of {@link duties}. */
export type Duty = (typeof duties)[keyof typeof duties];

/** Number of requests by name of the organisation. */
export type RequestCounts = Readonly<Record<string, number>>;

/** The records with which hosts agree on the duties. The log keeps the newest record of each key. */
export type DutyRecord =
  /** A host takes over the duties. Its position in the log determines the fencing number of its term. */
  | {
      readonly kind: 'term';
      readonly holder: string;
      /** Differs between all records, so that a host recognizes one whose append was not acknowledged. */
      readonly nonce: string;
    }
  /** The holder still performs the duties; hosts that wait to take over begin to wait again. */
  | {readonly kind: 'renewal'; readonly nonce: string}
  /** The report for a window. It is recorded before it is sent, so that every holder sends the same counts. */
  | {
      readonly kind: 'usage';
      /** Number of the window since 1970. */
      readonly window: number;
      readonly counts: RequestCounts;
    }
  /** The number of targets ordered for a service in a zone. */
  | {
      readonly kind: 'pool-size';
      readonly service: string;
      readonly zone: string;
      readonly count: number;
    };

/** A record with its position in the log, which includes the era of the store. */
export interface PositionedRecord {
  readonly position: number;
  readonly record: DutyRecord;
}
