import {FailureError} from '../../process/errors/catalogue.js';
import {HttpTargetClient} from './http-target-client.js';
import type {TargetResponse} from './target-client.js';

/** Time in which an engine must confirm a cancellation, in milliseconds. */
const cancelTimeoutMs = 500;

/** Model engine in the OpenAI form, with resumable streams. */
export class ModelEngineClient extends HttpTargetClient {
  override readonly resumable = true;

  override async cancel(attemptId: string): Promise<boolean> {
    const path = `/requests/${encodeURIComponent(attemptId)}/cancel`;
    const timeout = new AbortController();
    const timer = setTimeout(() => timeout.abort(), cancelTimeoutMs);
    try {
      const answer = await this.send(
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
      answer.body.resume();
      // An engine that does not know the id does not run it.
      return answer.status < 300 || answer.status === 404;
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
    const answer = await this.send(
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
    const type = String(answer.headers['content-type'] ?? '');
    if (answer.status === 200 && type.startsWith('text/event-stream')) {
      return answer;
    }
    answer.body.resume();
    throw new FailureError({
      kind: 'target-resume-refused',
      target: this.name,
      status: answer.status,
    });
  }
}
