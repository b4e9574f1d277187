import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Metrics} from '../../process/metrics.js';
import {RouteHandler} from './route-handler.js';
import {sendProblem} from './problem.js';

/** Refuses requests for paths that no other handler matches. */
export class UnknownPathHandler extends RouteHandler {
  /**
   * @param metrics - Metrics that count the refusals.
   */
  constructor(private readonly metrics: Metrics) {
    super();
  }

  override matches(): boolean {
    return true;
  }

  override async handle(
    _req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    this.metrics.refusal('unknown-route');
    sendProblem(res, 'unknown-route');
  }
}
