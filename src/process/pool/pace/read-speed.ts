/** Prompt tokens per token time while no response was seen. */
const assumedTokens = 300;
/** Bounds of the learnt number. */
const minTokens = 30;
const maxTokens = 3000;
/** Relative change by one response. Only its direction counts, so that single odd responses change little. */
const stepShare = 0.03;
/** Shortest prompt from which the speed is learnt, in tokens; shorter ones are read in less time than the way takes. */
const minPromptTokens = 400;

/** Times of a response's first event. */
export interface ReadSample {
  /** Prompt tokens that the engine had to read before, with those of other requests. */
  readonly tokens: number;
  /** Time from sending the request to its first event at the usual pace, in milliseconds. */
  readonly firstMs: number;
  /** Time per output token at the usual pace of an idle engine, in milliseconds. */
  readonly tokenMs: number;
  /** Tokens that the first event holds, and the time to generate them, in milliseconds. */
  readonly eventTokens: number;
  readonly eventMs: number;
}

/** Learns how many prompt tokens the engines of a service read in the time of one output token: a moving median. */
export class ReadSpeed {
  private tokens = assumedTokens;
  private firstTokens = 0;

  /** Prompt tokens that an engine reads in the time of one output token. */
  get promptTokensPerTokenTime(): number {
    return this.tokens;
  }

  /** Tokens that the first event of a stream holds; 0 while unknown. */
  get firstEventTokens(): number {
    return this.firstTokens;
  }

  /**
   * Adds a response.
   *
   * @param sample - Times of its first event.
   */
  observe(sample: ReadSample): void {
    const {tokens, firstMs, tokenMs} = sample;
    this.firstTokens = sample.eventTokens;
    if (tokens < minPromptTokens || tokenMs <= 0) return;
    const readMs = firstMs - sample.eventMs;
    // An engine that answered faster than it could read had the prompt in its memory.
    if (readMs <= 0 || tokens * tokenMs > maxTokens * readMs) return;
    const isFaster = tokens * tokenMs > this.tokens * readMs;
    const next = this.tokens * (1 + (isFaster ? stepShare : -stepShare));
    this.tokens = Math.min(maxTokens, Math.max(minTokens, next));
  }
}
