import type {IncomingMessage} from 'node:http';
import {FailureError} from '../../process/errors/catalogue.js';
import type {CallerMemory} from '../http/caller-memory.js';
import {readBody as readCharged} from '../http/request-body.js';
import {withUnknownExecution} from './problem.js';

/** A body in memory. */
export interface HeldBody {
  readonly bytes: Buffer;
  /** Ends the charge for its memory; called once the request has ended. */
  readonly release: () => void;
}

/**
 * Reads the complete body of a request.
 *
 * @param req - Request whose body was not read yet.
 * @param maxBytes - Maximum size of the body, in bytes.
 * @param memory - Accounts of the callers, to which the body is charged.
 * @returns The body.
 * @throws {@link FailureError} of kind `refused` with reason `body-too-large` or `no-memory`, or of
 *   kind `caller-left` if the connection closed before the body ended.
 */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
  memory: CallerMemory,
): Promise<HeldBody> {
  return new Promise((resolve, reject) => {
    if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
      reject(new FailureError({kind: 'refused', reason: 'body-too-large'}));
      return;
    }
    readCharged(req, maxBytes, memory, {
      onBody: (body, release) => {
        if (Buffer.isBuffer(body)) return resolve({bytes: body, release});
        const bytes = body.toBuffer();
        body.release();
        resolve({bytes, release});
      },
      onFailure: failure => {
        const tooLarge = failure === 'tooLarge';
        const reason = tooLarge ? 'body-too-large' : 'no-memory';
        // An earlier request with the same key had memory and may have run.
        const keyed = req.headers['idempotency-key'] !== undefined;
        const details = keyed && !tooLarge ? withUnknownExecution() : {};
        reject(new FailureError({kind: 'refused', reason, ...details}));
      },
    });
    req.once('close', () =>
      reject(new FailureError({kind: 'caller-left', execution: 'not-run'})),
    );
  });
}
