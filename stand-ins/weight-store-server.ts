import type {IncomingMessage, ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import {
  HttpStandIn,
  readJson,
  sendJson,
  type ControlCommand,
} from './http-stand-in.js';

/** Properties and faults of the weight store, to be changed at any time. */
export interface WeightStoreLimits {
  /** Loads at once. */
  concurrentLoads: number;
  /** Bandwidth that the running loads share, in bytes per second. */
  bytesPerSecond: number;
  /** Whether no call succeeds. */
  down: boolean;
}

/** Weight store that grants a bounded number of loads at once. */
export class WeightStoreServer extends HttpStandIn {
  readonly limits: WeightStoreLimits = {
    concurrentLoads: 2,
    bytesPerSecond: 2e9,
    down: false,
  };
  /** Granted loads, in order. */
  readonly granted: {target: string; version: string; endMs: number}[] = [];

  protected override control(command: ControlCommand): unknown {
    const {do: name, ...rest} = command;
    if (name !== 'limits') return undefined;
    return Object.assign(this.limits, rest);
  }

  protected override async answer(
    req: IncomingMessage,
    res: ServerResponse,
    url: URL,
  ): Promise<void> {
    if (req.method !== 'POST' || url.pathname !== '/loads') {
      return sendJson(res, 404, {error: 'unknown path'});
    }
    const load = (await readJson(req)) as {
      target: string;
      version: string;
      bytes: number;
    };
    const {concurrentLoads, bytesPerSecond, down} = this.limits;
    if (down) return sendJson(res, 503, {error: 'down'});
    const nowMs = performance.now();
    const running = this.granted.filter(({endMs}) => endMs > nowMs);
    if (running.length >= concurrentLoads) {
      const first = Math.min(...running.map(({endMs}) => endMs));
      return sendJson(res, 200, {retryAfterMs: Math.ceil(first - nowMs)});
    }
    const grantedBytesPerSecond = bytesPerSecond / concurrentLoads;
    const durationMs = (load.bytes / grantedBytesPerSecond) * 1000;
    const {target, version} = load;
    this.granted.push({target, version, endMs: nowMs + durationMs});
    return sendJson(res, 200, {grantedBytesPerSecond});
  }
}
