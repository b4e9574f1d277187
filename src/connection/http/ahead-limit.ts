/** Maximum number of requests in progress on one connection. */
const maxInProgress = 64;
/** Maximum number of requests in progress beyond the first one of each connection, over all connections. */
const maxAhead = 512;

/**
 * Bounds the requests that callers send ahead, over all connections of a server. Each connection may have one request in
 * progress in any case.
 */
export class AheadLimit {
  private ahead = 0;

  /**
   * @param inProgress - Requests in progress on a connection.
   * @returns Whether another one of that connection may begin.
   */
  mayBegin(inProgress: number): boolean {
    if (inProgress === 0) return true;
    return inProgress < maxInProgress && this.ahead < maxAhead;
  }

  /**
   * Records that the number of requests in progress on a connection changed.
   *
   * @param before - Number before.
   * @param after - Number now.
   */
  record(before: number, after: number): void {
    this.ahead += Math.max(0, after - 1) - Math.max(0, before - 1);
  }
}
