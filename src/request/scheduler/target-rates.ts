/** Fixed cost of processing a prompt, as a number of prompt tokens; small prompts are not free. */
export const promptOverheadTokens = 300;
/** Fixed cost of a batch step, as the number of requests that add the same time. */
export const batchOverhead = 30;
/** Ratio to the expected latency above which a latency counts as a jump. */
const jumpRatio = 2.5;
/** Weight of a new sample. */
const smoothingFactor = 0.1;
/** Growth of the uncongested baseline with each sample, so that it can rise as well as fall. */
const baselineDrift = 1.002;

/** Learnt speed of a target, of all targets with the same hardware, or of a group. */
export class TargetRates {
  private promptMs: number | undefined;
  private batchMs: number | undefined;
  private baseTokenMs: number | undefined;

  /**
   * @param parent - Rates used until the first observation; they learn from each observation, too.
   * @param defaultPromptMs - Time per prompt token if the parent has none either, in milliseconds.
   * @param defaultBatchMs - Time per token and request of a batch, likewise.
   */
  constructor(
    private readonly parent: TargetRates | undefined,
    private readonly defaultPromptMs: number,
    private readonly defaultBatchMs: number,
  ) {}

  /** Time per prompt token, in milliseconds. */
  get promptTokenMs(): number {
    return this.promptMs ?? this.parent?.promptTokenMs ?? this.defaultPromptMs;
  }

  /** Time that one request adds to a batch step, in milliseconds. */
  get batchSlotMs(): number {
    return this.batchMs ?? this.parent?.batchSlotMs ?? this.defaultBatchMs;
  }

  /** Time per token without congestion, in milliseconds, once known. */
  get uncongestedTokenMs(): number | undefined {
    return this.baseTokenMs ?? this.parent?.uncongestedTokenMs;
  }

  /** Expected time to first token, in milliseconds. */
  firstTokenMs(promptTokens: number): number {
    return this.promptTokenMs * (promptTokens + promptOverheadTokens);
  }

  /** Expected time per token in a batch of this size, in milliseconds. */
  tokenMs(inFlight: number): number {
    return this.batchSlotMs * (batchOverhead + inFlight);
  }

  /** Whether a time to first token is far above the expected one. */
  isFirstTokenJump(ms: number, promptTokens: number): boolean {
    if (this.promptMs === undefined) return false;
    return ms > jumpRatio * this.firstTokenMs(promptTokens);
  }

  /** Whether a time per token is far above the expected one. */
  isTokenJump(ms: number, inFlight: number): boolean {
    if (this.batchMs === undefined) return false;
    return ms > jumpRatio * this.tokenMs(inFlight);
  }

  /** Learns from a time to first token. */
  learnFirstToken(ms: number, promptTokens: number): void {
    const sample = ms / (promptTokens + promptOverheadTokens);
    this.promptMs = smooth(this.promptMs, sample);
    this.parent?.learnFirstToken(ms, promptTokens);
  }

  /** Learns from a time per token. */
  learnToken(ms: number, inFlight: number): void {
    this.batchMs = smooth(this.batchMs, ms / (batchOverhead + inFlight));
    this.baseTokenMs =
      this.baseTokenMs === undefined
        ? ms
        : Math.min(ms, this.baseTokenMs * baselineDrift);
    this.parent?.learnToken(ms, inFlight);
  }

  /** Multiplies the rates by a factor, after a sudden change of the target's state. */
  scale(factor: number): void {
    if (this.promptMs !== undefined) this.promptMs *= factor;
    if (this.batchMs !== undefined) this.batchMs *= factor;
  }
}

function smooth(value: number | undefined, sample: number): number {
  return value === undefined
    ? sample
    : value + smoothingFactor * (sample - value);
}
