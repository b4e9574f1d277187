import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {RouteHandler} from '../connection/caller/route-handler.js';
import {requestHeaders} from '../connection/caller/headers.js';
import {HttpResponseSink} from '../connection/caller/http-response-sink.js';
import {
  sendProblem,
  withUnknownExecution,
} from '../connection/caller/problem.js';
import {readBody} from '../connection/caller/request-body.js';
import type {CallerMemory} from '../connection/http/caller-memory.js';
import {FailureError} from '../process/errors/catalogue.js';
import type {OrganisationLimiter} from '../process/limits/organisation-limiter.js';
import {getResource, type ConfigState} from '../version/config-state.js';
import {admit, authenticate, modelPaths, type Admitted} from './admission.js';
import {
  AttemptLoop,
  type AttemptParts,
  type Job,
  type JobResult,
} from './attempt-loop.js';
import type {ClaimGate, ClaimToken} from './claim-gate.js';
import type {CostEstimator} from './cost-estimator.js';
import type {PrefixHasher} from './prefix-hashes.js';
import {readCompletion, type CompletionRequest} from './completion-request.js';
import {refusals, type RefusalReason} from './refusals.js';

/** Dependencies and settings of the request path. */
export interface RequestParts extends AttemptParts {
  readonly host: string;
  readonly config: () => ConfigState;
  readonly claims: ClaimGate;
  readonly costs: CostEstimator;
  readonly limiter: OrganisationLimiter;
  /** Prompt hasher; `undefined` until it is loaded, during which requests have no prefixes. */
  readonly prefixes: () => PrefixHasher | undefined;
  readonly maxBodyBytes: number;
  /** Memory that callers hold. */
  readonly memory: CallerMemory;
}

/** State of a request while it is handled, for the report of a failure. */
interface RequestState {
  admitted?: Admitted;
  /** Whether an earlier request with the same idempotency key may have run: its claim is undecided. */
  claimUndecided: boolean;
}

/** `Retry-After` for a retry whose first request is still running, in milliseconds. */
const inProgressRetryAfterMs = 1000;

/** Handles callers' requests: admission, claim of the key, dispatch and relay of the response. */
export class RequestHandler extends RouteHandler {
  /**
   * @param parts - Dependencies and settings.
   */
  constructor(private readonly parts: RequestParts) {
    super();
  }

  override matches(path: string): boolean {
    return path.startsWith('/v1/') || path.startsWith('/services/');
  }

  override async handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const state: RequestState = {claimUndecided: false};
    try {
      await this.serve(req, res, state);
    } catch (err) {
      if (!(err instanceof FailureError)) throw err;
      this.sendFailure(err.failure, res, state);
    }
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
    state: RequestState,
  ): Promise<void> {
    const {clock, config, maxBodyBytes} = this.parts;
    const startMs = clock.nowMs();
    const caller = new AbortController();
    res.once('close', () => {
      // The default reason would capture a stack trace.
      if (!res.writableFinished) caller.abort('caller disconnected');
    });
    const head = {
      method: req.method ?? 'GET',
      url: req.url ?? '/',
      headers: req.headersDistinct,
    };
    // Unauthenticated requests are refused before their body is read into memory.
    authenticate(config(), head);
    const {bytes: body, release} = await readBody(
      req,
      maxBodyBytes,
      this.parts.memory,
    );
    res.once('close', release);
    if (res.closed) release();
    const completion =
      modelPaths.has(head.url.split('?', 1)[0]) && head.method === 'POST'
        ? readCompletion(body)
        : undefined;
    const admitted = admit(config(), head, completion?.model);
    state.admitted = admitted;
    const keyed = admitted.key !== undefined && !admitted.idempotent;
    const job: Job = {
      admitted,
      queued: this.toQueued(admitted, completion),
      method: head.method,
      headers: requestHeaders(head.headers),
      body,
      stream: completion?.stream ?? false,
      deadlineAtMs: startMs + admitted.timeoutMs,
      fingerprints: toFingerprints(admitted, head.method, body),
      sink: new HttpResponseSink(res, keyed),
      record: keyed,
    };
    state.claimUndecided = keyed;
    const result = keyed
      ? await this.runClaimed(job, state, caller.signal)
      : await this.runWithinLimits(job, caller.signal);
    if (result) this.finished(job, result, startMs);
  }

  private startWithinLimits(organisation: string): void {
    const {clock, config, limiter} = this.parts;
    const limits = getResource(config(), 'organisation', organisation)?.spec
      .limits;
    const refusal = limiter.begin(organisation, limits, clock.nowMs());
    if (refusal) throw new FailureError({kind: 'refused', ...refusal});
  }

  /** Applies the limits after the claim, so that `not-run` also holds for earlier requests with the key. */
  private async runWithinLimits(
    job: Job,
    caller: AbortSignal,
  ): Promise<JobResult> {
    const {organisation} = job.admitted;
    this.startWithinLimits(organisation);
    try {
      return await new AttemptLoop(this.parts, job, caller).run();
    } finally {
      this.parts.limiter.end(organisation);
    }
  }

  /** Runs a non-idempotent request with an idempotency key at most once. */
  private async runClaimed(
    job: Job,
    state: RequestState,
    caller: AbortSignal,
  ): Promise<JobResult | undefined> {
    const {claims} = this.parts;
    const result = await claims.claim({
      scopeKey: scopeKeyOf(job.admitted),
      requestHash: hash(job.method, job.admitted.targetPath, job.body),
      requestId: job.admitted.id,
    });
    state.claimUndecided = false;
    switch (result.kind) {
      case 'granted':
        return this.runGranted(job, result.token, caller);
      case 'answered': {
        const {status, headers, body} = result.answer;
        job.sink.head(status, {...headers, 'idempotency-replayed': 'true'});
        if (body.length > 0) await job.sink.write(body);
        job.sink.end();
        return undefined;
      }
      case 'unknown':
        throw refused('outcome-unknown');
      case 'in-progress':
        throw refused('key-in-progress', inProgressRetryAfterMs);
      case 'mismatch':
        throw refused('key-reused');
      case 'expired':
        throw refused('key-expired');
    }
  }

  private async runGranted(
    job: Job,
    token: ClaimToken,
    caller: AbortSignal,
  ): Promise<JobResult> {
    const {claims} = this.parts;
    let result: JobResult;
    try {
      result = await this.runWithinLimits(job, caller);
    } catch (err) {
      if (isCertainlyNotRun(err)) claims.release(token);
      else claims.finish(token, undefined);
      throw err;
    }
    const {relay, complete} = result;
    const body = complete ? relay.takeRecorded() : undefined;
    claims.finish(
      token,
      body && relay.status !== undefined
        ? {status: relay.status, headers: relay.headers, body}
        : undefined,
    );
    return result;
  }

  private finished(job: Job, result: JobResult, startMs: number): void {
    const {clock, costs, logger, metrics} = this.parts;
    const {id, organisation, service, tier} = job.admitted;
    const fields = {request: id, organisation, tier, service: service.name};
    if (!result.complete) {
      logger.event('answerBroken', fields);
      return;
    }
    const totalMs = clock.nowMs() - startMs;
    const {firstByteAtMs, status, tokens} = result.relay;
    metrics.answered(tier, (firstByteAtMs ?? clock.nowMs()) - startMs, totalMs);
    if (service.spec.type === 'model' && status === 200) {
      costs.record(organisation, service.name, tokens);
    }
    logger.event('requestFinished', {...fields, status, totalMs});
  }

  private sendFailure(
    failure: FailureError['failure'],
    res: ServerResponse,
    {admitted, claimUndecided}: RequestState,
  ): void {
    const {logger, metrics} = this.parts;
    const fields = {
      request: admitted?.id,
      organisation: admitted?.organisation,
      tier: admitted?.tier,
    };
    if (failure.kind === 'caller-left') {
      logger.event('callerLeft', fields);
      res.destroy();
      return;
    }
    const refusal: FailureError['failure'] & {kind: 'refused'} =
      failure.kind === 'refused'
        ? failure
        : {kind: 'refused', reason: 'outcome-unknown'};
    metrics.refusal(refusal.reason, admitted?.tier);
    logger.event('requestRefused', {...fields, reason: refusal.reason});
    if (res.headersSent) res.destroy();
    else if (claimUndecided)
      sendProblem(res, refusal.reason, withUnknownExecution(refusal));
    else sendProblem(res, refusal.reason, refusal);
  }

  private toQueued(
    admitted: Admitted,
    completion: CompletionRequest | undefined,
  ): Job['queued'] {
    const {organisation, service} = admitted;
    return {
      id: admitted.id,
      host: this.parts.host,
      service: service.name,
      route: admitted.route,
      organisation,
      weight: admitted.weight,
      tier: admitted.tier,
      idempotent: admitted.idempotent,
      timeoutMs: admitted.timeoutMs,
      promptTokens: completion?.promptTokens ?? 1,
      maxTokens:
        completion &&
        this.parts.costs.estimate(
          organisation,
          service.name,
          completion.maxTokens,
        ),
      wholeAnswer: completion !== undefined && !completion.stream,
      prefixes:
        completion === undefined
          ? []
          : (this.parts.prefixes()?.(service.name, completion.prompt) ?? []),
      attempt: 0,
      avoid: [],
    };
  }
}

function scopeKeyOf({organisation, service, key}: Admitted): string {
  return `${organisation}/${service.name}/${key}`;
}

function toFingerprints(
  admitted: Admitted,
  method: string,
  body: Buffer,
): string[] {
  const {service, targetPath, key} = admitted;
  const content = `content:${hash(method, `${service.name} ${targetPath}`, body)}`;
  return key === undefined
    ? [content]
    : [content, `key:${hash(scopeKeyOf(admitted))}`];
}

function hash(...parts: (string | Buffer)[]): string {
  const sha256 = createHash('sha256');
  for (const part of parts) sha256.update(part).update('\0');
  return sha256.digest('base64url');
}

function isCertainlyNotRun(err: unknown): boolean {
  if (!(err instanceof FailureError)) return false;
  const {failure} = err;
  if (failure.kind === 'caller-left') return failure.execution === 'not-run';
  if (failure.kind !== 'refused') return false;
  const known = failure.execution ?? refusals[failure.reason].execution;
  return known === 'not-run';
}

function refused(reason: RefusalReason, retryAfterMs?: number): FailureError {
  return new FailureError({kind: 'refused', reason, retryAfterMs});
}
