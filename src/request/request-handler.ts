import type {IncomingMessage, ServerResponse} from 'node:http';
import {pipeline} from 'node:stream/promises';
import {RouteHandler} from '../connection/caller/caller-server.js';
import {sendProblem} from '../connection/caller/problem.js';
import type {TargetClient} from '../connection/target/target-client.js';
import type {Clock} from '../process/clock.js';
import {FailureError} from '../process/errors/catalogue.js';
import type {Metrics} from '../process/metrics.js';
import type {ConfigState} from '../version/config-state.js';
import {admit, type Admitted} from './admission.js';
import type {Dispatcher, Grant} from './dispatcher.js';

/** Parts that the request path uses. */
export interface RequestParts {
  readonly host: string;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly dispatcher: Dispatcher;
  readonly config: () => ConfigState;
  readonly client: (target: Grant['target']) => TargetClient;
  readonly maxBodyBytes: number;
}

const hopByHop = new Set([
  'connection',
  'host',
  'keep-alive',
  'transfer-encoding',
  'content-length',
  'authorization',
  'expect',
  'upgrade',
  'te',
  'trailer',
]);

/** Serves callers' requests: admission, dispatch, relay of the answer. */
export class RequestHandler extends RouteHandler {
  /**
   * @param parts - Parts of the process.
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
    try {
      await this.serve(req, res);
    } catch (err) {
      if (!(err instanceof FailureError)) throw err;
      if (res.headersSent) {
        res.destroy();
        return;
      }
      const failure = err.failure;
      const reason =
        failure.kind === 'refused' ? failure.reason : 'outcome-unknown';
      this.parts.metrics.refusal(reason);
      sendProblem(res, reason);
    }
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const {clock, config, dispatcher, metrics} = this.parts;
    const startMs = clock.nowMs();
    const body = await this.readBody(req);
    const head = {
      method: req.method ?? 'GET',
      url: req.url ?? '/',
      headers: req.headers,
    };
    const admitted = admit(config(), head, readModel(head.url, body));
    const caller = new AbortController();
    res.once('close', () => caller.abort());
    const grant = await dispatcher.acquire(
      this.toQueued(admitted),
      caller.signal,
    );
    const sentMs = clock.nowMs();
    let firstMs = sentMs;
    try {
      const answer = await this.parts.client(grant.target).send(
        {
          attemptId: admitted.id,
          method: head.method,
          path: admitted.targetPath,
          headers: forwardHeaders(req),
          body,
        },
        caller.signal,
      );
      firstMs = clock.nowMs();
      res.writeHead(answer.status, answer.headers);
      await pipeline(answer.body, res);
      metrics.answered(
        admitted.tier,
        firstMs - startMs,
        clock.nowMs() - startMs,
      );
      grant.release({
        result: 'ok',
        firstTokenMs: firstMs - sentMs,
        totalMs: clock.nowMs() - sentMs,
        tokens: 1,
      });
    } catch (err) {
      grant.release({
        result: 'failed',
        totalMs: clock.nowMs() - sentMs,
        tokens: 0,
      });
      if (err instanceof FailureError) throw err;
      res.destroy();
    }
  }

  private toQueued(admitted: Admitted) {
    return {
      id: admitted.id,
      host: this.parts.host,
      service: admitted.service.name,
      route: admitted.route,
      organisation: admitted.organisation,
      weight: admitted.weight,
      tier: admitted.tier,
      idempotent: admitted.idempotent,
      timeoutMs: admitted.timeoutMs,
      promptTokens: 1,
      prefixes: [],
      attempt: 0,
      avoid: [],
    };
  }

  private async readBody(req: IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of req as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > this.parts.maxBodyBytes) {
        throw new FailureError({kind: 'refused', reason: 'body-too-large'});
      }
      chunks.push(chunk);
    }
    return Buffer.concat(chunks);
  }
}

function readModel(url: string, body: Buffer): string | undefined {
  if (!url.startsWith('/v1/')) return undefined;
  try {
    const parsed = JSON.parse(body.toString('utf8')) as {model?: unknown};
    return typeof parsed.model === 'string' ? parsed.model : undefined;
  } catch {
    throw new FailureError({
      kind: 'refused',
      reason: 'malformed-request',
      detail: 'the body is not JSON',
    });
  }
}

function forwardHeaders(
  req: IncomingMessage,
): Record<string, string | string[]> {
  const headers: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(req.headers)) {
    if (value !== undefined && !hopByHop.has(name)) headers[name] = value;
  }
  return headers;
}
