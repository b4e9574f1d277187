import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  readBody,
  type BodyFailure,
} from '../../../connection/http/request-body.js';
import type {Body} from '../../../process/body-blocks.js';
import type {RouteTable} from '../../../version/deployment/route-table.js';
import {
  computeDeadlineAtMs,
  type AdmittedRequest,
} from '../admitted-request.js';
import type {GatewayHandler} from '../gateway-handler.js';
import type {OpenRequest} from '../open-request-check.js';
import {requestFingerprints} from '../request-fingerprints.js';
import type {CallerHead} from '../wire-format.js';
import {
  parseRelayHead,
  readCallerHead,
  relayRuns,
  type RelayHead,
} from './relay-headers.js';
import type {RelayRefusalReason} from './relay-refusals.js';
import {RelayedRequest, type RelayedRequestParts} from './relayed-request.js';

/** Dependencies of the handler. */
export interface RelayedHandlerParts extends RelayedRequestParts {
  readonly routes: () => RouteTable | undefined;
  /** Tracks the open requests of callers and other hosts together. */
  readonly handler: Pick<GatewayHandler, 'open' | 'openCheck'>;
}

/** Admits requests of other hosts, which have authenticated their callers and charged the quotas. */
export class RelayedHandler {
  /** @param parts - Dependencies, shared with each request. */
  constructor(private readonly parts: RelayedHandlerParts) {}

  /**
   * Looks up the route that the other host states, reads the request, then serves or refuses it.
   *
   * @param req - Request whose body was not read yet.
   * @param res - Response whose head was not sent yet.
   */
  handle(req: IncomingMessage, res: ServerResponse): void {
    const {clock, handler, memory, wire} = this.parts;
    const nowMs = clock.nowMs();
    const head = readCallerHead(wire, req.rawHeaders);
    const from = parseRelayHead(req.headers);
    const {requestId} = head;
    const tracked: OpenRequest = {requestId, arrivedMs: nowMs, req, res};
    handler.openCheck.add(tracked);
    const routes = this.parts.routes();
    const known = routes && from && this.lookUp(routes, from);
    if (!known) {
      return this.refuse(tracked, from, 'otherConfiguration');
    }
    const {maxBodyBytes} = routes.configuration.limits;
    if ((head.bodyLength ?? 0) > maxBodyBytes) {
      return this.refuse(tracked, from, 'bodyTooLarge');
    }
    const onBody = (body: Body, release: () => void) => {
      const request = {
        ...known,
        ...toContent(req, head, from, nowMs),
        body,
      };
      const fingerprints = requestFingerprints(request);
      this.serve(tracked, from, {...request, fingerprints}, release);
    };
    const onFailure = (failure: BodyFailure) =>
      this.refuse(
        tracked,
        from,
        failure === 'tooLarge' ? 'bodyTooLarge' : failure,
      );
    readBody(req, maxBodyBytes, memory, {onBody, onFailure});
  }

  /**
   * Finds what the other host names. With another version in force here, targets would get requests of this host by both
   * versions in turn.
   */
  private lookUp(routes: RouteTable, from: RelayHead) {
    const {configVersion, organisation: name} = from;
    if (configVersion !== routes.configuration.version) return undefined;
    const route = routes.routeNamed(from.route);
    const service = routes.service(from.service);
    const organisation =
      name === undefined ? undefined : routes.organisationNamed(name);
    if (!route || !service) return undefined;
    if (name !== undefined && !organisation) return undefined;
    const tokensPerEvent = service.engine?.tokensPerEvent ?? 1;
    return {
      route,
      service: service.name,
      organisation,
      configVersion,
      tokensPerEvent,
    };
  }

  private serve(
    tracked: OpenRequest,
    from: RelayHead,
    request: AdmittedRequest,
    release: () => void,
  ): void {
    const {clock, handler, stopsAtMs} = this.parts;
    // A response might be cut off if this host stops before the deadline of the request.
    if (computeDeadlineAtMs(request) > stopsAtMs()) {
      release();
      return this.refuse(tracked, from, 'stopping');
    }
    const {res} = tracked;
    const onDone = (done: RelayedRequest) => {
      handler.open.delete(done);
      release();
      handler.openCheck.end(tracked, clock.nowMs());
    };
    const {host} = from;
    const served = new RelayedRequest(this.parts, request, host, res, onDone);
    tracked.admitted = served;
    handler.open.add(served);
    served.start();
  }

  private refuse(
    tracked: OpenRequest,
    from: RelayHead | undefined,
    name: RelayRefusalReason,
  ): void {
    const {clock, handler, refusals} = this.parts;
    const {req, requestId, res} = tracked;
    // The parser would take the unread rest of a body for the next request, so the connection closes.
    const isUnread =
      !req.complete && (name === 'bodyTooLarge' || name === 'noMemory');
    req.resume();
    const run = relayRuns.notSent;
    const refusal = {name, run, requestId};
    refusals.send({host: from?.host, res}, refusal, isUnread);
    handler.openCheck.end(tracked, clock.nowMs());
  }
}

/** Restores the request as it arrived at the other host, whose time has to be taken from its objective here as well. */
function toContent(
  {method = 'GET', url = '/'}: IncomingMessage,
  head: CallerHead,
  {elapsedMs}: RelayHead,
  nowMs: number,
) {
  const {deadlineMs: remainingMs} = head;
  const deadlineMs =
    remainingMs === undefined ? undefined : remainingMs + elapsedMs;
  return {
    head: {...head, deadlineMs},
    method,
    url,
    arrivedMs: nowMs - elapsedMs,
  };
}
