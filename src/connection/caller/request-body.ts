import type {IncomingMessage} from 'node:http';
import {ByteBuffer} from '../../process/byte-buffer.js';
import {FailureError} from '../../process/errors/catalogue.js';

/**
 * Reads the complete body of a request.
 *
 * @param req - Request whose body was not read yet.
 * @param maxBytes - Maximum size of the body, in bytes.
 * @returns The body, in memory.
 * @throws {@link FailureError} of kind `refused` with reason `body-too-large`, or of kind
 *   `caller-left` if the connection closed before the body ended.
 */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const tooLarge = () =>
      reject(new FailureError({kind: 'refused', reason: 'body-too-large'}));
    if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
      tooLarge();
      return;
    }
    const body = new ByteBuffer();
    req.on('data', (chunk: Buffer) => {
      if (body.length + chunk.length > maxBytes) {
        body.clear();
        req.pause();
        tooLarge();
        return;
      }
      body.append(chunk);
    });
    const onClose = () =>
      reject(new FailureError({kind: 'caller-left', execution: 'not-run'}));
    req.once('end', () => {
      req.off('close', onClose);
      resolve(body.take());
    });
    req.once('close', onClose);
    // Without a listener, the 'error' event of a reset connection would end the process.
    req.on('error', () => {});
  });
}
