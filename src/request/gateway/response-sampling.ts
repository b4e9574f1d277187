import {sampleStream} from '../../process/pool/pace/engine-samples.js';
import type {PooledTarget} from '../../process/pool/pooled-target.js';
import {requestKinds} from '../../version/deployment/types.js';
import type {AdmittedRequest, GatewayRequestParts} from './admitted-request.js';
import type {ResponseRelay} from './response-relay.js';
import type {TargetAttempt} from './target-attempt.js';

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
  const factor = target.speed.meanFactor(firstAtMs, lastAtMs);
  target.sampleTokenMs((lastAtMs - firstAtMs) / tokens / factor);
}

/**
 * Records a finished attempt in the canary evaluation and, if it succeeded, in the statistics of its
 * route and target.
 *
 * @param parts - Statistics to update.
 * @param request - Request of the attempt.
 * @param relay - Response with its event times.
 * @param attempt - Target and start of the attempt.
 * @param failed - Whether the attempt failed.
 */
export function recordResponse(
  {clock, canaryEvaluator, stats}: GatewayRequestParts,
  request: AdmittedRequest,
  relay: ResponseRelay,
  {target, startMs, promptTokensAtStart}: TargetAttempt,
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
  if (route.kind !== requestKinds.stream) {
    target.sampleResponseMs(slotMs / target.speed.meanFactor(startMs, nowMs));
  } else if (target.speed.reading) {
    sampleStream(target, {
      startMs,
      firstAtMs: startMs + firstMs,
      endMs: nowMs,
      events: relay.events,
      tokensPerEvent,
      promptTokens: promptTokensAtStart,
    });
  } else if (relay.events >= minEvents) {
    target.sampleTokenMs((slotMs - firstMs) / tokens);
  }
}

/**
 * Records a response that was delivered completely.
 *
 * @param parts - Clock and metrics.
 * @param request - Request with the time of its arrival.
 * @param relay - Response with its event times.
 */
export function recordDelivery(
  {clock, metrics}: GatewayRequestParts,
  {arrivedMs}: AdmittedRequest,
  {firstAtMs}: ResponseRelay,
): void {
  const nowMs = clock.nowMs();
  metrics.answered({
    firstMs: (firstAtMs ?? nowMs) - arrivedMs,
    totalMs: nowMs - arrivedMs,
  });
}
