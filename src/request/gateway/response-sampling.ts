import type {PooledTarget} from '../../process/pool/pooled-target.js';
import {requestKinds} from '../../version/deployment/types.js';
import type {AdmittedRequest, GatewayRequestParts} from './admitted-request.js';
import type {ResponseRelay} from './response-relay.js';

/** Events of a first answer from which the speed of its target is learnt. */
const minEarlyEvents = 6;
/** Events below which the times of an answer say little about the speed of its target. */
const minEvents = 3;

/**
 * Learns the speed of a target that is not known, before its first answer has ended.
 *
 * @param request - Request that is being answered.
 * @param relay - What was relayed so far.
 * @param target - Target that answers.
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
 * Learns from an answer that has ended.
 *
 * @param parts - Where what is learnt is kept.
 * @param request - Request that was answered.
 * @param relay - What was relayed.
 * @param target - Target that answered.
 * @param startMs - Time at which the request was sent, on the process's clock.
 * @param failed - Whether the target failed.
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
