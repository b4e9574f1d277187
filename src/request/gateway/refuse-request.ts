import type {ServerResponse} from 'node:http';
import {
  toSlotRequest,
  type AdmittedRequest,
  type GatewayRequestParts,
} from './admitted-request.js';
import type {Ticket} from './dispatcher.js';
import type {RequestState} from './open-request-check.js';
import type {AttemptPeer} from './request-attempt.js';
import {computeRetryAfterMs} from './wait-policy.js';
import {refusalReasons, type RefusalName} from './refusal-reasons.js';

/** Refusals of requests for which no target had a free slot in time. */
const lacksSlots: ReadonlySet<RefusalName> = new Set<RefusalName>([
  'noSlot',
  'expiredWaiting',
]);

/**
 * Refuses an admitted request, and logs the state on which the refusal was based.
 *
 * @param parts - Dependencies of requests.
 * @param request - Request to refuse.
 * @param res - Response to the caller.
 * @param name - Reason of the refusal.
 * @param retryAfterMs - Time after which the caller should retry, in milliseconds.
 */
export function refuseRequest(
  parts: GatewayRequestParts,
  request: AdmittedRequest,
  res: ServerResponse,
  name: RefusalName,
  retryAfterMs: number | undefined,
): void {
  const {clock, decisions, dispatcher, closesAfter, metrics, pool} = parts;
  const {organisation, service, head, arrivedMs, route} = request;
  metrics.refused(name);
  if (lacksSlots.has(name)) parts.demand?.refused(service);
  decisions.log('gatewayRefused', {
    request: head.requestId,
    reason: name,
    route: route.name,
    service,
    organisation: organisation?.name,
    waiting: dispatcher.waiting,
    ...pool.occupancy(service),
    heldMs: Math.round(clock.nowMs() - arrivedMs),
    returnMs: retryAfterMs && Math.round(retryAfterMs),
  });
  sendRefusal(res, name, retryAfterMs, closesAfter(res));
}

/**
 * Computes after which time the caller of a refused request should come back.
 *
 * @param parts - Dependencies of requests.
 * @param request - Request that is refused.
 * @param deadlineAtMs - Its deadline on the process's clock, in milliseconds.
 * @param waitMs - Time until it could be accepted, in milliseconds.
 * @returns Time in milliseconds.
 */
export function returnAfterMs(
  {clock, dispatcher, random, scheduling, stats}: GatewayRequestParts,
  request: AdmittedRequest,
  deadlineAtMs: number,
  waitMs: number,
): number {
  const {service} = request;
  const admission = scheduling?.admission;
  if (admission && waitMs === 0) {
    const nowMs = clock.nowMs();
    const use = {untilMs: nowMs, exclude: new Set<string>(), trial: false};
    const slotRequest = toSlotRequest(request, stats, use);
    return admission.returnMs(slotRequest, deadlineAtMs - nowMs, nowMs);
  }
  return computeRetryAfterMs(
    Math.max(waitMs, dispatcher.backlogMs(service)),
    deadlineAtMs - clock.nowMs(),
    random(),
  );
}

/**
 * Withdraws a request from the queue that is refused at once, because it could not start in time. One that was sent
 * to a target before waits on.
 *
 * @param parts - Dependencies of requests.
 * @param ticket - Its place in the queue.
 * @returns Whether it was withdrawn and has to be refused.
 */
export function withdrawIfOverloaded(
  {clock, dispatcher, scheduling}: GatewayRequestParts,
  ticket: Ticket,
): boolean {
  const {request} = ticket;
  if (!scheduling?.admission || request.exclude.size > 0) return false;
  if (!scheduling.admission.refuses(request, clock.nowMs())) return false;
  dispatcher.withdraw(ticket);
  return true;
}

/**
 * Records that the connection of an open request closed, so that its response cannot be sent.
 *
 * @param parts - Dependencies of requests.
 * @param request - Request whose caller left.
 * @param peer - Where the request was sent, if it has been.
 */
export function recordCallerLeft(
  {clock, decisions, metrics}: GatewayRequestParts,
  {arrivedMs, head}: AdmittedRequest,
  peer: AttemptPeer | undefined,
): void {
  metrics.callerLeft();
  decisions.log('callerLeft', {
    request: head.requestId,
    ...peer,
    heldMs: Math.round(clock.nowMs() - arrivedMs),
  });
}

/**
 * Cuts off a response of which the caller has received a part, and logs the state that led to it.
 *
 * @param parts - Dependencies of requests.
 * @param request - Request whose response is cut off.
 * @param res - Response to the caller.
 * @param state - Why it is cut off, and the attempts before that.
 */
export function abortResponse(
  {clock, decisions, metrics}: GatewayRequestParts,
  {arrivedMs, head, route, service}: AdmittedRequest,
  res: ServerResponse,
  state: RequestState,
): void {
  metrics.responseAborted();
  decisions.log('responseAborted', {
    request: head.requestId,
    route: route.name,
    service,
    heldMs: Math.round(clock.nowMs() - arrivedMs),
    ...state,
  });
  // HTTP/1.0 responses may end with the connection; only a reset marks one as incomplete.
  const {req, socket} = res;
  if (req.httpVersion === '1.0') socket?.resetAndDestroy();
  res.destroy();
}

/**
 * Sends a refusal as JSON, with its status and the time after which to retry.
 *
 * @param res - Response to the caller.
 * @param name - Reason of the refusal.
 * @param retryAfterMs - Time after which the caller should retry, in milliseconds.
 * @param closesConnection - Whether the connection is closed after the response.
 */
export function sendRefusal(
  res: ServerResponse,
  name: RefusalName,
  retryAfterMs: number | undefined,
  closesConnection: boolean,
): void {
  const {status, text} = refusalReasons[name];
  const body = JSON.stringify({error: name, message: text});
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  };
  if (retryAfterMs !== undefined) {
    headers['retry-after'] = (retryAfterMs / 1000).toFixed(3);
  }
  if (closesConnection) headers.connection = 'close';
  res.writeHead(status, headers);
  res.end(body);
}
