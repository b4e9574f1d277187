import type {PooledTarget} from '../../process/pool/pooled-target.js';
import {requestKinds} from '../../version/deployment/types.js';
import type {AdmittedRequest, GatewayRequestParts} from './admitted-request.js';
import type {ResponseRelay} from './response-relay.js';

/** Events after which the token time of a target without samples is estimated from an open stream. */
const minEarlyEvents = 6;
/** Minimum number of events of a stream from which its target's token time is estimated. */
const minEvents = 3;

/**
 * Estimates the token time of a target that this host has no samples of, while its stream is still
 * open.
 *
 * @param request - Request that the target is serving.
 * @param relay - Response so far, with its event times.
 * @param target - Target to sample.
 */
export function sampleEarlyTokens(
  request: AdmittedRequest,
  relay: ResponseRelay,
  target: PooledTarget,
): void {
  const {events, firstAtMs, lastAtMs} = relay;
  if (target.localTokenMs > 0 || events < minEarlyEvents) return;
  if (firstAtMs === undefined || lastAtMs === undefined) return;
  const tokens = (events - 1) * request.tokensPerEvent;
  target.sampleTokenMs((lastAtMs - firstAtMs) / tokens);
}

/**
 * Records a finished attempt in the canary evaluation and, if it succeeded, in the statistics of its
 * route and target.
 *
 * @param parts - Statistics to update.
 * @param request - Request of the attempt.
 * @param relay - Response with its event times.
 * @param target - Target of the attempt.
 * @param startMs - Time at which the attempt was sent, on the process's clock, in milliseconds.
 * @param failed - Whether the attempt failed.
 */
export function recordResponse(
  {clock, canaryEvaluator, stats}: GatewayRequestParts,
  request: AdmittedRequest,
  relay: ResponseRelay,
  target: PooledTarget,
  startMs: number,
  failed: boolean,
): void {
  const {route, service, tokensPerEvent} = request;
  const nowMs = clock.nowMs();
  const slotMs = nowMs - startMs;
  const firstMs = (relay.firstAtMs ?? nowMs) - startMs;
  canaryEvaluator.record(
    service,
    target.entry.version,
    route.name,
    failed,
    firstMs,
  );
  if (failed) return;
  const tokens = relay.events * tokensPerEvent;
  const {expectedOutputTokens} = request.head;
  stats.record(route.name, slotMs, firstMs, tokens, expectedOutputTokens);
  if (route.kind !== requestKinds.stream) target.sampleResponseMs(slotMs);
  else if (relay.events >= minEvents) {
    target.sampleTokenMs((slotMs - firstMs) / tokens);
  }
}
