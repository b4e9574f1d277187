import type {
  Exchange,
  ExchangeFailure,
  ExchangeHandler,
} from '../../../connection/gateway/exchange.js';
import type {RelayClient} from '../../../connection/peer/relay-client.js';
import type {GatewayRetryReason} from '../../../process/gateway-metrics.js';
import {outcomes, type Outcome} from '../../../process/pool/pooled-target.js';
import {
  relayOutcomes,
  type RelayHost,
  type RelayHosts,
  type RelayOutcome,
} from '../../../process/reach/relay-hosts.js';
import type {
  AdmittedRequest,
  GatewayRequestParts,
} from '../admitted-request.js';
import type {RefusalName} from '../refusal-reasons.js';
import {
  RequestAttempt,
  type AttemptOptions,
  type AttemptPeer,
} from '../request-attempt.js';
import {formatRelayHead, relayRuns} from './relay-headers.js';
import type {RelayMetrics} from './relay-metrics.js';

/** How a host sends requests through others. */
export interface RelayWay {
  /** Name of this host. */
  readonly host: string;
  readonly client: RelayClient;
  readonly metrics: RelayMetrics;
}

/** The host to which an attempt goes, and how it gets there. */
export interface RelayPlace {
  readonly relay: RelayHost;
  /** Counts the attempt as open there until its end. */
  readonly relays: RelayHosts;
  readonly way: RelayWay;
}

/**
 * One attempt of a request at a target that another host chooses. That host records what it shows about the target; this
 * one records only how the other host served it.
 */
export class RelayAttempt extends RequestAttempt {
  override readonly exchange: Exchange;

  /**
   * @param parts - Dependencies of requests.
   * @param request - Request to send.
   * @param place - Host that relays it.
   * @param options - What is added to the request.
   * @param handler - Receives the response.
   */
  constructor(
    parts: GatewayRequestParts,
    request: AdmittedRequest,
    private readonly place: RelayPlace,
    {deadlineAtMs, lastEventId}: AttemptOptions,
    handler: ExchangeHandler,
  ) {
    super(parts, request);
    const {decisions, wire} = parts;
    const {relay, way} = place;
    const {arrivedMs, body, head, method, organisation, route} = request;
    const {requestId} = head;
    const headers = wire.targetHeaders(head, {
      deadlineMs: deadlineAtMs - this.startMs,
      organisation: organisation?.name,
      lastEventId,
    });
    headers.push(
      ...formatRelayHead({
        host: way.host,
        configVersion: request.configVersion,
        service: request.service,
        route: route.name,
        organisation: organisation?.name,
        elapsedMs: this.startMs - arrivedMs,
      }),
    );
    this.exchange = way.client.exchange(
      relay,
      {method, path: request.url, headers, body, requestId},
      {
        ...handler,
        maySend: () => {
          this.withheld = !handler.maySend();
          return !this.withheld;
        },
      },
    );
    decisions.log('requestRelayed', {request: requestId, ...this.peer});
  }

  override get peer(): AttemptPeer {
    return {relay: this.place.relay.host};
  }

  override get refusedReason(): GatewayRetryReason {
    return this.wasRefusedByTarget ? 'refused' : 'relay-refused';
  }

  override get refusal(): RefusalName {
    return this.wasRefusedByTarget ? 'targetsRefuse' : 'unreachable';
  }

  override recordData(): void {}

  override recordStall(sinceMs: number): void {
    this.stalled = true;
    this.parts.decisions.log('targetStalled', {
      request: this.request.head.requestId,
      ...this.peer,
      sinceMs: Math.round(sinceMs),
    });
  }

  override recordResponse(): void {}

  override logFailure(failure: ExchangeFailure, reason: string): void {
    const {head, route} = this.request;
    this.parts.decisions.log('exchangeFailed', {
      request: head.requestId,
      ...this.peer,
      failure,
      reason,
      route: route.name,
    });
  }

  override checkEnd(onChecked: (isComplete: boolean) => void): void {
    // The other host sends a length or chunks, and breaks them off where it finds that the target ended.
    onChecked(true);
  }

  override checkCrash(_failure: ExchangeFailure, onChecked: () => void): void {
    onChecked();
  }

  override releaseFailed(): void {
    // A host that refuses because the target failed has responded itself.
    const isOwnEnd = this.withheld || this.head?.refusal !== undefined;
    this.end(isOwnEnd ? relayOutcomes.cancelled : relayOutcomes.failed);
  }

  override release(outcome: Outcome): void {
    if (outcome === outcomes.refused) this.end(relayOutcomes.refused);
    // A target's error response has come through as well.
    else if (outcome !== outcomes.cancelled) this.end(relayOutcomes.answered);
    else
      this.end(this.stalled ? relayOutcomes.failed : relayOutcomes.cancelled);
  }

  private get wasRefusedByTarget(): boolean {
    return this.head?.refusal?.run === relayRuns.targetRefused;
  }

  private end(outcome: RelayOutcome): void {
    const {relay, relays, way} = this.place;
    way.metrics.sent(outcome);
    relays.ended(relay.host, outcome, this.parts.clock.nowMs());
  }
}
