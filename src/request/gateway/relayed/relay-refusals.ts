import type {ServerResponse} from 'node:http';
import type {DecisionLog} from '../../../process/decision-log.js';
import type {RefusalName} from '../refusal-reasons.js';
import {formatRelayRefusal, type RelayRun} from './relay-headers.js';
import type {RelayMetrics} from './relay-metrics.js';

/** Why a request of another host is refused: as one of a caller, or because the hosts have different configurations. */
export type RelayRefusalReason = RefusalName | 'otherConfiguration';

/** Refuses requests of other hosts. */
export class RelayRefusals {
  /**
   * @param metrics - Counts the refusals.
   * @param decisions - Log of the refusals.
   * @param closesAfter - Returns whether the connection closes after a response; `isRequired` if it cannot be used any
   *   longer.
   */
  constructor(
    readonly metrics: RelayMetrics,
    private readonly decisions: DecisionLog,
    private readonly closesAfter: (
      res: ServerResponse,
      isRequired?: boolean,
    ) => boolean,
  ) {}

  /**
   * Sends a refusal.
   *
   * @param from - Host that sent the request, if it stated its name, and the response to it.
   * @param refusal - Reason, whether a target may have run the request, and its id.
   * @param isUnread - Whether the rest of the request's body is not read.
   */
  send(
    {host, res}: {readonly host?: string; readonly res: ServerResponse},
    refusal: {
      readonly name: RelayRefusalReason;
      readonly run: RelayRun;
      readonly requestId: string;
    },
    isUnread = false,
  ): void {
    const {name, run, requestId} = refusal;
    this.metrics.refused(name);
    this.decisions.log('relayRefused', {
      request: requestId,
      from: host,
      reason: name,
      run,
    });
    const headers: Record<string, string> = formatRelayRefusal(refusal);
    headers['content-length'] = '0';
    if (this.closesAfter(res, isUnread)) headers.connection = 'close';
    res.writeHead(503, headers);
    res.end();
  }
}
