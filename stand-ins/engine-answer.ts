import {createHash} from 'node:crypto';
import type {PrefixHasher} from '../src/request/prefix-hashes.js';
import {readCompletion} from '../src/request/completion-request.js';
import type {EngineRequest} from './engine-model.js';

/** Tokens generated when the request states no limit. */
const defaultTokens = 16;
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
  private readonly model: string;

  /**
   * @param path - Path of the request.
   * @param bytes - Body of the request.
   * @throws FailureError if the body is not a completion request.
   */
  constructor(path: string, bytes: Buffer) {
    const {model, stream, maxTokens, prompt, promptTokens} =
      readCompletion(bytes);
    this.bodySha256 = createHash('sha256').update(bytes).digest('hex');
    this.chat = path.startsWith('/v1/chat/');
    this.model = model;
    this.stream = stream;
    this.tokens = maxTokens ?? defaultTokens;
    this.prompt = prompt;
    this.promptTokens = promptTokens;
  }

  /**
   * The request as the engine model takes it.
   *
   * @param id - Id of the execution.
   * @param route - Route, for faults on one route only.
   * @param hash - Hashes prompts as hosts do, so that cache events mean something to them.
   * @param scope - Name of the service; the model's name if it is not known.
   */
  toModel(
    id: string,
    route: string,
    hash: PrefixHasher,
    scope: string = this.model,
  ): EngineRequest {
    return {
      id,
      promptTokens: this.promptTokens,
      outputTokens: this.tokens,
      prefixes: hash(scope, this.prompt),
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
