/** Receives what happens to one connection to a target. Calls come in the order of the methods. */
export abstract class ConnectionEvidence {
  /** Records that the connection is being opened. */
  abstract opening(): void;

  /** Records that the target accepted the connection. */
  abstract opened(): void;

  /** Records that the connection could not be opened. */
  abstract failed(): void;

  /** Records that a request is being sent. */
  abstract sent(): void;

  /** Records that bytes of the target arrived. */
  abstract received(): void;

  /** Records that the connection was reset. */
  abstract reset(): void;

  /** Whether the open connection may be dead, because the host lost its targets after it was opened. */
  abstract get isDoubtful(): boolean;
}
