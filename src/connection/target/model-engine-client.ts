import {FailureError} from '../../process/errors/catalogue.js';
import {inputRead} from '../../process/input-read.js';
import {HttpTargetClient} from './http-target-client.js';
import type {TargetResponse} from './target-client.js';

/** Timeout for an engine's confirmation of a cancellation, in milliseconds. */
const cancelTimeoutMs = 500;

/** Client of a model engine with an OpenAI-compatible API, cancellation and resumable streams. */
export class ModelEngineClient extends HttpTargetClient {
  override readonly resumable = true;

  override async cancel(attemptId: string): Promise<boolean> {
    const path = `/requests/${encodeURIComponent(attemptId)}/cancel`;
    const timeout = new AbortController();
    const timer = setTimeout(
      () => void inputRead().then(() => timeout.abort()),
      cancelTimeoutMs,
    );
    try {
      const response = await this.send(
        {
          attemptId,
          method: 'POST',
          path,
          headers: {},
          body: Buffer.alloc(0),
          idempotent: true,
        },
        timeout.signal,
      );
      response.body.resume();
      // 404: the engine does not know the id, so it does not run the attempt.
      return response.status < 300 || response.status === 404;
    } catch (err) {
      if (!(err instanceof FailureError)) throw err;
      return false;
    } finally {
      clearTimeout(timer);
    }
  }

  override async resume(
    attemptId: string,
    after: number,
    signal: AbortSignal,
  ): Promise<TargetResponse> {
    const response = await this.send(
      {
        attemptId,
        method: 'GET',
        path: `/requests/${encodeURIComponent(attemptId)}/stream?after=${after}`,
        headers: {accept: 'text/event-stream'},
        body: Buffer.alloc(0),
        idempotent: true,
      },
      signal,
    );
    const type = String(response.headers['content-type'] ?? '');
    if (response.status === 200 && type.startsWith('text/event-stream')) {
      return response;
    }
    response.body.resume();
    throw new FailureError({
      kind: 'target-resume-refused',
      target: this.name,
      status: response.status,
    });
  }
}
