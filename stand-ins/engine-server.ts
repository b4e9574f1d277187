import type {IncomingMessage, ServerResponse} from 'node:http';
import {HttpStandIn, readJson, sendJson} from './http-stand-in.js';

/** Time of one decoding step, in milliseconds. */
const stepMs = 5;
/** Tokens generated when the request states no limit. */
const defaultTokens = 16;

interface CompletionBody {
  readonly model?: string;
  readonly stream?: boolean;
  readonly max_tokens?: number;
}

/** Model engine in the OpenAI form. */
export class EngineServer extends HttpStandIn {
  /** Ids of the requests that were run, in order. */
  readonly executions: string[] = [];

  protected override async answer(
    req: IncomingMessage,
    res: ServerResponse,
    url: URL,
  ): Promise<void> {
    if (!url.pathname.startsWith('/v1/')) {
      return sendJson(res, 404, {error: 'unknown path'});
    }
    const body = (await readJson(req)) as CompletionBody;
    const id = String(req.headers['x-request-id'] ?? '');
    this.executions.push(id);
    const count = body.max_tokens ?? defaultTokens;
    const words = Array.from({length: count}, (_, i) => `word${i} `);
    if (!body.stream) {
      await delay(stepMs * count);
      const text = words.join('');
      return sendJson(res, 200, {
        id,
        object: 'chat.completion',
        model: body.model,
        choices: [
          {
            index: 0,
            message: {role: 'assistant', content: text},
            finish_reason: 'stop',
          },
        ],
        usage: {completion_tokens: count},
      });
    }
    res.writeHead(200, {'content-type': 'text/event-stream'});
    for (const content of words) {
      const chunk = {
        id,
        object: 'chat.completion.chunk',
        choices: [{index: 0, delta: {content}}],
      };
      res.write(`data: ${JSON.stringify(chunk)}\n\n`);
      await delay(stepMs);
    }
    res.end('data: [DONE]\n\n');
  }
}

function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
