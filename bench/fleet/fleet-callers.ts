import {createHash} from 'node:crypto';
import {Agent} from 'undici';
import type {PlannedRequest} from '../../src/demo/load-plan.js';
import type {Balancer} from './balancer.js';
import type {HostProcess} from './host-process.js';

/** Time after a request's own limit at which its caller gives up, in milliseconds. */
const graceMs = 15_000;
/** Time after which a request without a certain outcome is sent again, in milliseconds. */
const resendDelayMs = 300;
/** Times that one caller sends a request with a key. */
const maxSendings = 4;

/** How one sending ended. */
export type SendingOutcome =
  | {kind: 'answered'; status: number; sha256: string}
  | {kind: 'refused'; reason: string; execution: string}
  /** The connection broke, or could not be made: the caller knows that it got no whole answer. */
  | {kind: 'broken'; reason: string; connected: boolean}
  /** No end in time: the caller was told nothing. */
  | {kind: 'silent'};

/** One sending of a request. Times are wall-clock milliseconds. */
export interface Sending {
  readonly host: string;
  readonly sentMs: number;
  readonly endMs: number;
  readonly firstByteMs: number;
  readonly outcome: SendingOutcome;
}

/** A request of a caller with all its sendings. */
export interface CallerRequest {
  readonly req: PlannedRequest;
  readonly sendings: readonly Sending[];
}

/** Sends planned requests through the balancer; keyed ones again until their outcome is known. */
export class FleetCallers {
  readonly done: CallerRequest[] = [];
  private readonly agent = new Agent({headersTimeout: 0, bodyTimeout: 0});
  private index = 0;

  constructor(private readonly balancer: Balancer) {}

  /** Sends all requests at their times and waits for their ends. */
  async run(plan: readonly PlannedRequest[]): Promise<void> {
    const startMs = Date.now();
    await Promise.all(
      plan.map(async req => {
        await sleep(startMs + req.atMs - Date.now());
        this.done.push({req, sendings: await this.sendUntilKnown(req)});
      }),
    );
    await this.agent.close();
  }

  private async sendUntilKnown(req: PlannedRequest): Promise<Sending[]> {
    const sendings: Sending[] = [];
    const tried = new Set<HostProcess>();
    for (;;) {
      const host = this.balancer.choose(this.index++, tried);
      tried.add(host);
      const sending = await this.send(req, host);
      sendings.push(sending);
      const {outcome} = sending;
      if (outcome.kind === 'answered' || outcome.kind === 'silent') break;
      // A balancer goes on to the next host when a connection cannot be made.
      const unsent = outcome.kind === 'broken' && !outcome.connected;
      if (unsent && tried.size < maxSendings) continue;
      const again =
        req.key !== undefined &&
        (outcome.kind === 'broken' || outcome.execution === 'unknown');
      if (!again || sendings.length >= maxSendings) break;
      await sleep(resendDelayMs);
    }
    return sendings;
  }

  private async send(req: PlannedRequest, host: HostProcess): Promise<Sending> {
    const sentMs = Date.now();
    let firstByteMs = 0;
    const signal = AbortSignal.timeout(req.timeoutMs + graceMs);
    const outcome = await this.exchange(req, host.origin, signal, () => {
      firstByteMs = Date.now() - sentMs;
    });
    const {id} = host.plan;
    return {host: id, sentMs, endMs: Date.now(), firstByteMs, outcome};
  }

  private async exchange(
    req: PlannedRequest,
    origin: string,
    signal: AbortSignal,
    onFirstByte: () => void,
  ): Promise<SendingOutcome> {
    try {
      const res = await this.agent.request({
        origin,
        method: req.method,
        path: req.path,
        body: req.body === '' ? null : req.body,
        signal,
        headers: {
          authorization: `Bearer ${req.token}`,
          'content-type': 'application/json',
          'request-timeout-ms': String(req.timeoutMs),
          ...(req.key ? {'idempotency-key': req.key} : {}),
        },
      });
      const chunks: Buffer[] = [];
      for await (const chunk of res.body as AsyncIterable<Buffer>) {
        if (chunks.length === 0) onFirstByte();
        chunks.push(chunk);
      }
      const body = Buffer.concat(chunks);
      const type = String(res.headers['content-type'] ?? '');
      if (type.startsWith('application/problem+json')) {
        const {reason, execution} = JSON.parse(body.toString('utf8')) as {
          reason: string;
          execution: string;
        };
        return {kind: 'refused', reason, execution};
      }
      const sha256 = createHash('sha256').update(body).digest('hex');
      return {kind: 'answered', status: res.statusCode, sha256};
    } catch (err) {
      if (signal.aborted) return {kind: 'silent'};
      const {code, message} = err as NodeJS.ErrnoException;
      const connected =
        code !== 'ECONNREFUSED' && code !== 'UND_ERR_CONNECT_TIMEOUT';
      return {kind: 'broken', reason: code ?? message, connected};
    }
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, Math.max(0, ms)));
}
