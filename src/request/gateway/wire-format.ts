/** A part of a prompt that several requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Head of a caller's request, decoded. */
export interface CallerHead {
  /** Empty if the caller sent none. */
  readonly requestId: string;
  /** Time that the caller is willing to wait, in milliseconds. */
  readonly deadlineMs?: number;
  readonly apiKey?: string;
  /** Tokens of the prompt. */
  readonly promptTokens: number;
  /** Greatest number of tokens that may be generated. */
  readonly maxOutputTokens: number;
  /** The caller's estimate of the tokens that will be generated; right at the median, often far off. */
  readonly expectedOutputTokens?: number;
  /** Whether the caller stated its tokens. */
  readonly countsTokens: boolean;
  /** Parts of the prompt in their order; the last one belongs to the request or its session. */
  readonly parts: readonly PromptPart[];
  /** Values of all `Host` headers. */
  readonly hosts: readonly string[];
  /** Declared length of the body, in bytes. */
  readonly bodyLength?: number;
  /** Bytes of all header names and values. */
  readonly headerBytes: number;
  /** Names and values to hand on, alternating. */
  readonly forwarded: readonly string[];
}

/** What the host adds to a request for a target. */
export interface TargetHead {
  /** Time left, in milliseconds. */
  readonly deadlineMs: number;
  /** Target that must run the request; another one at the same address refuses it. */
  readonly targetId: string;
  readonly organisation?: string;
  /** Last event that the caller already has, for a stream that goes on. */
  readonly lastEventId?: string;
}

/** Load that a target states in an answer. */
export interface TargetLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Head of a target's answer, decoded. */
export interface ResponseHead {
  readonly status: number;
  /** Id of the request that the answer belongs to. */
  readonly requestId?: string;
  /** Whether the target states that it did not run the request. */
  readonly notRun: boolean;
  /** Whether the length of the body is known or it is sent in chunks. */
  readonly framed: boolean;
  /** Whether the target closes the connection after the answer. */
  readonly closes: boolean;
  readonly eventStream: boolean;
  readonly bodyLength?: number;
  readonly load?: TargetLoad;
  /** Time for which the target remains cold, in milliseconds. */
  readonly coldMs?: number;
  /** Headers for the caller. */
  readonly relayed: Readonly<Record<string, string | string[]>>;
}

/** Header names and formats of callers and targets. */
export abstract class WireFormat {
  /** Path at which the load balancer asks whether the host is ready. */
  abstract readonly readyPath: string;

  /**
   * Decodes the headers of a caller's request.
   *
   * @param rawHeaders - Names and values as received, alternating.
   */
  abstract readCaller(rawHeaders: readonly string[]): CallerHead;

  /**
   * Builds the headers of a request for a target.
   *
   * @param caller - Head of the caller's request.
   * @param added - What the host adds.
   * @returns Names and values, alternating.
   */
  abstract targetHeaders(caller: CallerHead, added: TargetHead): string[];

  /**
   * Decodes the head of a target's answer.
   *
   * @param status - Status code.
   * @param headers - Headers with names in lower case.
   */
  abstract readResponse(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): ResponseHead;
}
