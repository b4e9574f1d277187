import {createHash} from 'node:crypto';
import type {EngineRequest} from './engine-model.js';

/** Tokens generated when the request states no limit. */
const defaultTokens = 16;
/** Characters of prompt text that count as one token. */
const charsPerToken = 4;

/** Body of a completion request, as far as the stand-in reads it. */
export interface CompletionBody {
  readonly model?: string;
  readonly stream?: boolean;
  readonly max_tokens?: number;
  readonly prompt?: string;
  readonly messages?: readonly {role?: string; content?: string}[];
}

/** What an engine reports about the tokens of an answer. */
export interface AnswerUsage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

/**
 * Content of the answer to one completion request. It is derived from the request's bytes, so that
 * every execution of a request gives the same text and answers to different requests differ.
 */
export class EngineAnswer {
  readonly bodySha256: string;
  readonly tokens: number;
  readonly stream: boolean;
  /** Text of the prompt. */
  readonly prompt: string;
  readonly promptTokens: number;
  private readonly chat: boolean;
  private readonly model: string | undefined;

  /**
   * @param path - Path of the request.
   * @param bytes - Body of the request.
   * @throws SyntaxError if the body is not JSON.
   */
  constructor(path: string, bytes: Buffer) {
    const body = JSON.parse(bytes.toString('utf8')) as CompletionBody;
    this.bodySha256 = createHash('sha256').update(bytes).digest('hex');
    this.chat = path.startsWith('/v1/chat/');
    this.model = body.model;
    this.stream = body.stream === true;
    this.tokens = Math.max(1, Math.floor(body.max_tokens ?? defaultTokens));
    this.prompt =
      body.prompt ?? (body.messages ?? []).map(m => m.content ?? '').join('\n');
    this.promptTokens = Math.max(
      1,
      Math.ceil(this.prompt.length / charsPerToken),
    );
  }

  /** The request as the engine model takes it. */
  toModel(id: string, route: string, blockTokens: number): EngineRequest {
    return {
      id,
      promptTokens: this.promptTokens,
      outputTokens: this.tokens,
      prefixes: hashPrefixes(this.prompt, blockTokens * charsPerToken),
      route,
      content: this.prompt,
    };
  }

  /** Text of one token. */
  token(index: number): string {
    const at = (index * 4) % this.bodySha256.length;
    return `word${index}-${this.bodySha256.slice(at, at + 4)} `;
  }

  /** Server-sent event of one token. */
  tokenEvent(index: number): string {
    return this.event(this.delta(this.token(index)), null);
  }

  /** Last two server-sent events of a complete stream. */
  endEvents(usage: AnswerUsage): string[] {
    const last = this.event(this.delta(undefined), 'stop', this.usage(usage));
    return [last, 'data: [DONE]\n\n'];
  }

  /** Body of an answer that is not streamed. */
  whole(usage: AnswerUsage): string {
    const text = Array.from({length: this.tokens}, (_, i) => this.token(i));
    const content = text.join('');
    const choice = this.chat
      ? {message: {role: 'assistant', content}}
      : {text: content};
    return JSON.stringify({
      id: this.answerId,
      object: this.chat ? 'chat.completion' : 'text_completion',
      model: this.model,
      choices: [{index: 0, ...choice, finish_reason: 'stop'}],
      usage: this.usage(usage),
    });
  }

  private get answerId(): string {
    return `cmpl-${this.bodySha256.slice(0, 16)}`;
  }

  private delta(content: string | undefined): object {
    if (!this.chat) return {text: content ?? ''};
    return {delta: content === undefined ? {} : {content}};
  }

  private event(choice: object, finish: string | null, usage?: object): string {
    const chunk = {
      id: this.answerId,
      object: this.chat ? 'chat.completion.chunk' : 'text_completion',
      model: this.model,
      choices: [{index: 0, ...choice, finish_reason: finish}],
      usage,
    };
    return `data: ${JSON.stringify(chunk)}\n\n`;
  }

  private usage({promptTokens, cachedTokens}: AnswerUsage): object {
    return {
      prompt_tokens: promptTokens,
      completion_tokens: this.tokens,
      total_tokens: promptTokens + this.tokens,
      prompt_tokens_details: {cached_tokens: cachedTokens},
    };
  }
}

/**
 * Hashes a text at block boundaries; each hash covers the text from its start.
 *
 * @param text - Prompt text.
 * @param blockChars - Characters in a block.
 * @returns Hashes of the whole blocks, shortest prefix first, 16 hexadecimal digits each.
 */
export function hashPrefixes(text: string, blockChars: number): string[] {
  const hash = createHash('sha256');
  const hashes: string[] = [];
  for (let end = blockChars; end <= text.length; end += blockChars) {
    hash.update(text.slice(end - blockChars, end));
    hashes.push(hash.copy().digest('hex').slice(0, 16));
  }
  return hashes;
}
