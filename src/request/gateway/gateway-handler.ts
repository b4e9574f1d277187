import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  readBody,
  type BodyFailure,
} from '../../connection/http/request-body.js';
import type {Body} from '../../process/body-blocks.js';
import {every, type Cancel} from '../../process/clock.js';
import {
  chooseService,
  type RouteTable,
} from '../../version/deployment/route-table.js';
import type {Organisation} from '../../version/deployment/types.js';
import {
  computeDeadlineAtMs,
  type AdmittedRequest,
  type GatewayRequestParts,
} from './admitted-request.js';
import {GatewayRequest} from './gateway-request.js';
import {readCallerHead} from './relayed/relay-headers.js';
import {
  OpenRequestCheck,
  LoggingOverdueSink,
  type OpenRequest,
  type OverdueSink,
  type ServedRequest,
} from './open-request-check.js';
import {requestFingerprints} from './request-fingerprints.js';
import type {RefusalName} from './refusal-reasons.js';
import {sendRefusal} from './refuse-request.js';
import {LateChecks} from './late-checks.js';
import {computeRetryAfterMs} from './wait-policy.js';
import type {CallerHead} from './wire-format.js';

/** Interval at which open requests are checked for stalled targets and overdue responses, in milliseconds. */
const checkIntervalMs = 100;
/** Retry-After of a host that has no configuration yet, in milliseconds. */
const notConfiguredRetryAfterMs = 500;

/** Retry-After of a host that stops, in milliseconds; other hosts take the request at once. */
const stoppingRetryAfterMs = 50;

/** Dependencies of the handler. */
export interface GatewayHandlerParts extends GatewayRequestParts {
  readonly routes: () => RouteTable | undefined;
  /** Receives requests whose responses should have ended; logs them by default. */
  readonly overdueSink?: OverdueSink;
}

/** Admits callers' requests and tracks the open ones. */
export class GatewayHandler {
  /** Requests that were admitted and have not ended, also those of other hosts. */
  readonly open = new Set<ServedRequest>();
  /** Finds the requests whose responses should have ended. */
  readonly openCheck: OpenRequestCheck;
  private cancelCheck: Cancel = () => {};

  /** @param parts - Dependencies, shared with each request. */
  constructor(private readonly parts: GatewayHandlerParts) {
    const {decisions, metrics, overdueSink} = parts;
    this.openCheck = new OpenRequestCheck(
      overdueSink ?? new LoggingOverdueSink(metrics, decisions),
    );
  }

  /** Number of requests that were admitted and have not ended. */
  get openRequests(): number {
    return this.open.size;
  }

  /** Starts the periodic check for stalled targets and overdue responses. */
  start(): void {
    const {clock} = this.parts;
    const lateness = new LateChecks(checkIntervalMs, clock.nowMs());
    this.cancelCheck = every(clock, checkIntervalMs, () => {
      const nowMs = clock.nowMs();
      if (lateness.skips(nowMs)) return;
      for (const request of [...this.open]) request.check(nowMs);
      this.openCheck.check(nowMs);
    });
  }

  /** Stops the periodic check. */
  stop(): void {
    this.cancelCheck();
  }

  /** Ends all open requests, because the host ends. Those without a begun response get a refusal. */
  endOpenRequests(): void {
    const end = (request: ServedRequest) =>
      request.expire('stopping', 'stoppedRunning');
    // The slots that running requests release would otherwise go to the waiting ones, which would be sent.
    [...this.open].filter(request => request.isWaiting).forEach(end);
    [...this.open].forEach(end);
  }

  /**
   * Routes, authenticates and reads a request, then serves or refuses it.
   *
   * @param req - Request whose body was not read yet.
   * @param res - Response whose head was not sent yet.
   */
  handle(req: IncomingMessage, res: ServerResponse): void {
    const arrivedMs = this.parts.clock.nowMs();
    const routes = this.parts.routes();
    const head = readCallerHead(this.parts.wire, req.rawHeaders);
    const {requestId} = head;
    const tracked: OpenRequest = {requestId, arrivedMs, req, res};
    this.openCheck.add(tracked);
    if (!routes) {
      return this.refuse(
        tracked,
        head,
        'notConfigured',
        notConfiguredRetryAfterMs,
      );
    }
    const {limits} = routes.configuration;
    const url = req.url ?? '/';
    if (head.hosts.length !== 1) return this.refuse(tracked, head, 'badHost');
    if (head.headerBytes > limits.maxHeaderBytes) {
      return this.refuse(tracked, head, 'headersTooLarge');
    }
    if (head.exceedsTokenLimit) {
      return this.refuse(tracked, head, 'tooManyTokens');
    }
    const route = routes.route(head.hosts[0], url.split('?', 1)[0]);
    const service = route && chooseService(route, this.parts.random());
    if (!route || service === undefined) {
      return this.refuse(tracked, head, 'noRoute');
    }
    let organisation: Organisation | undefined;
    if (routes.needsKeys && !route.isPublic) {
      organisation = routes.organisation(head.apiKey ?? '');
      if (!organisation) return this.refuse(tracked, head, 'unknownKey');
    }
    const {maxBodyBytes} = limits;
    if ((head.bodyLength ?? 0) > maxBodyBytes) {
      return this.refuse(tracked, head, 'bodyTooLarge');
    }
    const method = req.method ?? 'GET';
    const onBody = (body: Body, release: () => void) => {
      const content = {head, method, url, body, service, organisation};
      const admitted = {
        ...content,
        fingerprints: requestFingerprints(content),
        route,
        configVersion: routes.configuration.version,
        tokensPerEvent: routes.service(service)?.engine?.tokensPerEvent ?? 1,
        arrivedMs,
      };
      if (this.mayBeCutOff(admitted)) {
        release();
        return this.refuse(tracked, head, 'stopping', stoppingRetryAfterMs);
      }
      const request = new GatewayRequest(this.parts, admitted, res, done => {
        this.open.delete(done);
        release();
        this.openCheck.end(tracked, this.parts.clock.nowMs());
      });
      tracked.admitted = request;
      this.open.add(request);
      request.start();
    };
    const onFailure = (failure: BodyFailure) => {
      if (failure === 'tooLarge') {
        return this.refuse(tracked, head, 'bodyTooLarge');
      }
      const {clock, random} = this.parts;
      const deadlineAtMs = computeDeadlineAtMs({route, head, arrivedMs});
      const remainingMs = Math.max(0, deadlineAtMs - clock.nowMs());
      const returnMs = computeRetryAfterMs(0, remainingMs, random());
      this.refuse(tracked, head, 'noMemory', returnMs);
    };
    readBody(req, maxBodyBytes, this.parts.memory, {onBody, onFailure});
  }

  /**
   * Records a request that arrived on a connection that this host had ended.
   *
   * @param req - Request that is not handled.
   */
  discard(req: IncomingMessage): void {
    const {decisions, metrics, wire} = this.parts;
    const {requestId} = wire.readCaller(req.rawHeaders);
    metrics.requestDiscarded();
    decisions.log('requestDiscarded', {request: requestId});
  }

  /** Checks whether a response might be cut off, because this host stops before the deadline of the request. */
  private mayBeCutOff(request: AdmittedRequest): boolean {
    return computeDeadlineAtMs(request) > this.parts.stopsAtMs();
  }

  private refuse(
    request: OpenRequest,
    head: CallerHead,
    name: RefusalName,
    retryAfterMs?: number,
  ): void {
    const {clock, closesAfter, decisions, metrics} = this.parts;
    const {req, res} = request;
    metrics.refused(name);
    decisions.log('gatewayRefused', {request: head.requestId, reason: name});
    // The parser would take the unread rest of a body for the next request, so the connection closes.
    const isUnread =
      !req.complete && (name === 'bodyTooLarge' || name === 'noMemory');
    req.resume();
    sendRefusal(res, name, retryAfterMs, closesAfter(res, isUnread));
    this.openCheck.end(request, clock.nowMs());
  }
}
