import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {SystemClock, type Clock} from '../src/process/clock.js';
import {
  HttpStandIn,
  readBody,
  sendJson,
  type ControlCommand,
} from './http-stand-in.js';

/** One run of a request at a plain service. */
export interface Execution {
  readonly id: string;
  readonly key: string | undefined;
  readonly method: string;
  readonly path: string;
  readonly bodySha256: string;
  /** Digest of the answer's body. */
  readonly answerSha256: string;
}

/** Fault of the next requests. */
export interface ServiceFault {
  /**
   * `fail`: status 500 after execution; `refuse`: 503 with `X-Execution: not-run`; `drop-before` and
   * `drop-after`: the connection breaks before or after execution.
   */
  readonly kind: 'fail' | 'refuse' | 'drop-before' | 'drop-after';
  /** Number of requests that it hits. */
  readonly count: number;
}

/** Plain service that records every execution. */
export class ServiceServer extends HttpStandIn {
  readonly executions: Execution[] = [];
  /** Time before each execution, in milliseconds. */
  delayMs = 0;
  private fault: ServiceFault | undefined;

  /**
   * @param clock - Clock for the delay.
   */
  constructor(private readonly clock: Clock = new SystemClock()) {
    super();
  }

  /** Sets the fault of the next requests. */
  setFault(fault: ServiceFault | undefined): void {
    this.fault = fault;
  }

  protected override control(command: ControlCommand): unknown {
    const {do: name, ...rest} = command;
    if (name === 'executions') return this.executions;
    if (name === 'fault') {
      this.setFault(
        rest['kind'] ? (rest as unknown as ServiceFault) : undefined,
      );
    } else if (name === 'delay') this.delayMs = Number(rest['ms']);
    else return undefined;
    return {done: name};
  }

  protected override async answer(
    req: IncomingMessage,
    res: ServerResponse,
    url: URL,
  ): Promise<void> {
    const body = await readBody(req);
    if (this.delayMs > 0) {
      await new Promise<void>(resolve =>
        this.clock.after(this.delayMs, resolve),
      );
    }
    const fault = this.takeFault();
    if (fault === 'drop-before') return void res.destroy();
    if (fault === 'refuse') {
      res.setHeader('x-execution', 'not-run');
      return sendJson(res, 503, {error: 'busy'});
    }
    const answer = this.execute(req, url, body);
    if (fault === 'drop-after') return void res.destroy();
    if (fault === 'fail') return sendJson(res, 500, {error: 'failed'});
    res.writeHead(200, {'content-type': 'application/json'});
    res.end(answer);
  }

  private execute(req: IncomingMessage, url: URL, body: Buffer): string {
    const key = req.headers['idempotency-key'];
    const run = {
      id: String(req.headers['x-request-id'] ?? ''),
      key: typeof key === 'string' ? key : undefined,
      method: req.method ?? 'GET',
      path: url.pathname + url.search,
      bodySha256: sha256(body),
    };
    const answer = JSON.stringify(run);
    this.executions.push({...run, answerSha256: sha256(answer)});
    return answer;
  }

  private takeFault(): ServiceFault['kind'] | undefined {
    if (!this.fault || this.fault.count <= 0) return undefined;
    this.fault = {...this.fault, count: this.fault.count - 1};
    return this.fault.kind;
  }
}

function sha256(data: string | Buffer): string {
  return createHash('sha256').update(data).digest('hex');
}
