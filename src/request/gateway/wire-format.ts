import type {RelayRefusal} from './relayed/relay-headers.js';

/** A section of a prompt that several requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Decoded headers of a caller's request. */
export interface CallerHead {
  /** Empty if the caller sent no id. */
  readonly requestId: string;
  /** Time that the caller will wait, in milliseconds. */
  readonly deadlineMs?: number;
  readonly apiKey?: string;
  /** Prompt tokens; 0 if not stated. */
  readonly promptTokens: number;
  /** Maximum number of generated tokens; 0 if not stated. */
  readonly maxOutputTokens: number;
  /** The caller's estimate of the generated tokens; its median is right, but single ones are often far off. */
  readonly expectedOutputTokens?: number;
  /** Whether the caller stated its token counts. */
  readonly countsTokens: boolean;
  /** Prompt sections in order; the last one belongs to the request or its session. */
  readonly parts: readonly PromptPart[];
  /** Values of all `Host` headers. */
  readonly hosts: readonly string[];
  /** Declared length of the body, in bytes. */
  readonly bodyLength?: number;
  /** Size of all header names and values, in bytes. */
  readonly headerBytes: number;
  /** Whether a number of tokens exceeds {@link maxTokens}; no target could run such a request. */
  readonly exceedsTokenLimit: boolean;
  /** Header names and values to forward, alternating. */
  readonly forwarded: readonly string[];
}

/** Values that the host adds to the headers of a request for a target. */
export interface TargetHead {
  /** Remaining time of the request, in milliseconds. */
  readonly deadlineMs: number;
  /**
   * Id of the target that must run the request; another target at the same address refuses it. Absent if another host
   * chooses the target.
   */
  readonly targetId?: string;
  readonly organisation?: string;
  /** Id of the last event that the caller received, if a stream is resumed. */
  readonly lastEventId?: string;
}

/** Load that a target reports in a response header. */
export interface TargetLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Time that work takes on the target's machine at the moment, in percent of the usual time; absent if not stated. */
  readonly pacePercent?: number;
}

/** Decoded status and headers of a target's response. */
export interface ResponseHead {
  readonly status: number;
  /** Id of the request that the target responds to. */
  readonly requestId?: string;
  /** Whether the target reports that it did not run the request. */
  readonly notRun: boolean;
  /** Whether the body has a known length or is chunked. */
  readonly framed: boolean;
  /** Whether the target closes the connection after the response. */
  readonly closes: boolean;
  readonly eventStream: boolean;
  readonly bodyLength?: number;
  readonly load?: TargetLoad;
  /** Time for which the target stays cold, in milliseconds. */
  readonly coldMs?: number;
  /** Requests per second that the target accepts from all hosts together; absent if it states no limit. */
  readonly limitPerSecond?: number;
  /** Requests that the target may turn away in one second before it fails; absent if it states no such number. */
  readonly rejectionsPerSecond?: number;
  /** Whether the target states such a number, but one that cannot be used. */
  readonly rejectionsUnreadable?: boolean;
  /** Whether the target states that it is about to stop. */
  readonly leaving: boolean;
  /** Time for which the target, which turns the request away, accepts nothing from this host, in milliseconds. */
  readonly backoffMs?: number;
  /** Why the host that relays the request refused it; absent in responses of targets. */
  readonly refusal?: RelayRefusal;
  /** Headers to relay to the caller. */
  readonly relayed: Readonly<Record<string, string | string[]>>;
}

/** Codec for the header names and formats of callers and targets. */
export abstract class WireFormat {
  /** Path of the load balancer's readiness probe. */
  abstract readonly readyPath: string;

  /**
   * Decodes the headers of a caller's request.
   *
   * @param rawHeaders - Names and values as received, alternating.
   * @returns Decoded headers.
   */
  abstract readCaller(rawHeaders: readonly string[]): CallerHead;

  /**
   * Builds the headers of a request for a target.
   *
   * @param caller - Decoded headers of the caller's request.
   * @param added - Values that the host adds.
   * @returns Header names and values, alternating.
   */
  abstract targetHeaders(caller: CallerHead, added: TargetHead): string[];

  /**
   * Decodes the status and headers of a target's response.
   *
   * @param status - HTTP status code.
   * @param headers - Headers by lower-case name.
   * @returns Decoded head.
   */
  abstract readResponse(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): ResponseHead;
}
