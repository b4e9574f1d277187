import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {HttpStandIn, readBody, sendJson} from './http-stand-in.js';

/** One run of a request at a plain service. */
export interface Execution {
  readonly id: string;
  readonly key: string | undefined;
  readonly method: string;
  readonly path: string;
  readonly bodySha256: string;
}

/** Plain service that records every execution. */
export class ServiceServer extends HttpStandIn {
  readonly executions: Execution[] = [];

  protected override async answer(
    req: IncomingMessage,
    res: ServerResponse,
    url: URL,
  ): Promise<void> {
    const body = await readBody(req);
    const key = req.headers['idempotency-key'];
    const execution: Execution = {
      id: String(req.headers['x-request-id'] ?? ''),
      key: typeof key === 'string' ? key : undefined,
      method: req.method ?? 'GET',
      path: url.pathname + url.search,
      bodySha256: createHash('sha256').update(body).digest('hex'),
    };
    this.executions.push(execution);
    sendJson(res, 200, execution);
  }
}
