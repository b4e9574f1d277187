import type {ExchangeHandler} from '../../connection/gateway/exchange.js';
import {outcomes, type PooledTarget} from '../../process/pool/pooled-target.js';
import {
  relayOutcomes,
  type RelayDemand,
} from '../../process/reach/relay-hosts.js';
import {
  toSlotRequest,
  type AdmittedRequest,
  type GatewayRequestParts,
} from './admitted-request.js';
import type {Attempts} from './attempt-tracker.js';
import {RelayAttempt, type RelayPlace} from './relayed/relay-attempt.js';
import type {AttemptOptions, RequestAttempt} from './request-attempt.js';
import {TargetAttempt} from './target-attempt.js';

/** Maximum number of hosts through which one request is sent. */
const maxRelays = 2;

/** Where an attempt goes: a target whose slot was taken, or a host that was chosen to relay it. */
export type AttemptPlace = {readonly target: PooledTarget} | RelayPlace;

/** State of a request for which a host is chosen. */
interface RelayedState extends Pick<RelayDemand, 'isRepeatable' | 'isWaiting'> {
  readonly stalled?: RequestAttempt;
}

/**
 * Begins an attempt, which is not sent yet.
 *
 * @param parts - Dependencies of requests.
 * @param request - Request to send.
 * @param place - Where it goes.
 * @param options - What is added to the request.
 * @param handler - Receives the response.
 * @returns The attempt, which releases the place at its end.
 */
export function createAttempt(
  parts: GatewayRequestParts,
  request: AdmittedRequest,
  place: AttemptPlace,
  options: AttemptOptions,
  handler: ExchangeHandler,
): RequestAttempt {
  if ('target' in place) {
    return new TargetAttempt(parts, request, place.target, options, handler);
  }
  return new RelayAttempt(parts, request, place, options, handler);
}

/**
 * Releases a place to which nothing was sent.
 *
 * @param parts - Dependencies of requests.
 * @param request - Request that was to be sent.
 * @param place - Place to release.
 */
export function releasePlace(
  {clock, pool}: GatewayRequestParts,
  {head}: AdmittedRequest,
  place: AttemptPlace,
): void {
  if ('target' in place) {
    pool.release(place.target, outcomes.cancelled, head.promptTokens);
  } else {
    const {relay, relays} = place;
    relays.ended(relay.host, relayOutcomes.cancelled, clock.nowMs());
  }
}

/**
 * Chooses the host through which a request is sent, because this one reaches no target of its service.
 *
 * @param parts - Dependencies of requests.
 * @param request - Request to send.
 * @param attempts - Earlier attempts of the request.
 * @param state - Whether the request may run twice, whether it waits for a target, and the attempt that would be aborted,
 *   if any.
 * @returns The host; `undefined` if the request is not to leave this host.
 */
export function chooseRelay(
  {clock, relays, relayWay: way}: GatewayRequestParts,
  {route, service}: AdmittedRequest,
  {excludedRelays}: Attempts,
  {isRepeatable, isWaiting, stalled}: RelayedState,
): AttemptPlace | undefined {
  if (!relays || !way) return undefined;
  const exclude = new Set(excludedRelays);
  const present = stalled?.peer.relay;
  if (present !== undefined) exclude.add(present);
  if (exclude.size >= maxRelays) return undefined;
  const {regions} = route;
  const demand = {service, regions, exclude, isRepeatable, isWaiting};
  const relay = relays.choose(demand, clock.nowMs());
  return relay && {relay, relays, way};
}

/**
 * Takes what a retry of a stalled attempt needs, a place elsewhere and retries from the budget, before the attempt is
 * aborted: its target may only pause, and a response must not end because of that.
 *
 * @param parts - Dependencies of requests.
 * @param request - Request whose attempt stalled.
 * @param attempts - Attempts of the request.
 * @param stalled - The stalled attempt; where it was sent is excluded from then on.
 * @returns Place that was taken; `undefined` if the attempt has to go on.
 */
export function reserveRetry(
  parts: GatewayRequestParts,
  request: AdmittedRequest,
  attempts: Attempts,
  stalled: RequestAttempt,
): AttemptPlace | undefined {
  const {clock, pool, stats} = parts;
  const nowMs = clock.nowMs();
  if (!attempts.allowsRetry(nowMs)) return undefined;
  const state = {isRepeatable: true, isWaiting: false, stalled};
  let place = chooseRelay(parts, request, attempts, state);
  if (!place) {
    const exclude = new Set(attempts.excluded);
    const {target: present} = stalled.peer;
    if (present !== undefined) exclude.add(present);
    const use = {untilMs: nowMs, exclude, trial: false};
    const target = pool.takeSlot(toSlotRequest(request, stats, use), nowMs);
    if (typeof target === 'string') return undefined;
    place = {target};
  }
  if (attempts.takeMove(stalled.peer, nowMs)) return place;
  releasePlace(parts, request, place);
  return undefined;
}
