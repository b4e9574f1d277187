import {createHash} from 'node:crypto';
import {Agent} from 'undici';
import type {Clock} from '../process/clock.js';
import type {PlannedRequest} from './load-plan.js';

/** What a caller saw of one request. Times are in milliseconds after sending. */
export interface CallerResult {
  readonly req: PlannedRequest;
  readonly outcome: CallerOutcome;
  /** Time to the first byte of the answer's body. */
  readonly firstByteMs: number;
  readonly totalMs: number;
}

/** How a request ended for its caller. */
export type CallerOutcome =
  /** The answer's end was received; `sha256` is the digest of its body. */
  | {kind: 'answered'; status: number; sha256: string}
  | {kind: 'refused'; reason: string; execution: string}
  | {kind: 'broken'; reason: string};

/** Sends planned requests over HTTP at their times. */
export class LoadSender {
  readonly results: CallerResult[] = [];
  /** Number of requests sent. */
  sent = 0;
  private readonly agent = new Agent({headersTimeout: 0, bodyTimeout: 0});

  /**
   * @param clock - Clock for the times.
   * @param origins - Base URLs of the hosts.
   */
  constructor(
    private readonly clock: Clock,
    private readonly origins: readonly string[],
  ) {}

  /**
   * Sends all requests and waits for their ends.
   *
   * @param plan - Requests.
   * @returns What the callers saw.
   */
  async run(plan: readonly PlannedRequest[]): Promise<CallerResult[]> {
    await Promise.all(plan.map(req => this.sendAt(req)));
    await this.agent.close();
    return this.results;
  }

  private async sendAt(req: PlannedRequest): Promise<void> {
    await new Promise<void>(resolve => this.clock.after(req.atMs, resolve));
    this.sent++;
    const startMs = this.clock.nowMs();
    let firstByteMs = 0;
    const outcome = await this.send(req, () => {
      firstByteMs = this.clock.nowMs() - startMs;
    });
    const totalMs = this.clock.nowMs() - startMs;
    this.results.push({req, outcome, firstByteMs, totalMs});
  }

  private async send(
    req: PlannedRequest,
    onFirstByte: () => void,
  ): Promise<CallerOutcome> {
    const key: Record<string, string> = req.key
      ? {'idempotency-key': req.key}
      : {};
    try {
      const res = await this.agent.request({
        origin: this.origins[req.host],
        method: req.method,
        path: req.path,
        body: req.body === '' ? null : req.body,
        headers: {
          authorization: `Bearer ${req.token}`,
          'content-type': 'application/json',
          'request-timeout-ms': String(req.timeoutMs),
          ...key,
        },
      });
      const chunks: Buffer[] = [];
      for await (const chunk of res.body as AsyncIterable<Buffer>) {
        if (chunks.length === 0) onFirstByte();
        chunks.push(chunk);
      }
      const type = String(res.headers['content-type'] ?? '');
      return toOutcome(res.statusCode, type, Buffer.concat(chunks));
    } catch (err) {
      return {kind: 'broken', reason: (err as Error).message};
    }
  }
}

function toOutcome(status: number, type: string, body: Buffer): CallerOutcome {
  if (type.startsWith('application/problem+json')) {
    const {reason, execution} = JSON.parse(body.toString('utf8')) as {
      reason: string;
      execution: string;
    };
    return {kind: 'refused', reason, execution};
  }
  const sha256 = createHash('sha256').update(body).digest('hex');
  return {kind: 'answered', status, sha256};
}
