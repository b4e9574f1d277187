import {
  WireFormat,
  type CallerHead,
  type ResponseHead,
  type TargetHead,
} from '../wire-format.js';
import {parseRelayRefusal, relayRuns} from './relay-headers.js';

/** Wire format between hosts: that of targets, and the refusals of relaying hosts. */
export class RelayWireFormat extends WireFormat {
  /** @param wire - Wire format of callers and targets. */
  constructor(private readonly wire: WireFormat) {
    super();
  }

  override get readyPath(): string {
    return this.wire.readyPath;
  }

  override readCaller(rawHeaders: readonly string[]): CallerHead {
    return this.wire.readCaller(rawHeaders);
  }

  override targetHeaders(caller: CallerHead, added: TargetHead): string[] {
    return this.wire.targetHeaders(caller, added);
  }

  override readResponse(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): ResponseHead {
    const head = this.wire.readResponse(status, headers);
    const refusal = parseRelayRefusal(headers);
    if (!refusal) return head;
    const notRun = refusal.run !== relayRuns.mayHaveRun;
    return {...head, requestId: refusal.requestId, notRun, refusal};
  }
}
