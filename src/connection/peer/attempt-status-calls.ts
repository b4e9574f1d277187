import {FailureError} from '../../process/errors/catalogue.js';
import type {ClaimEntry} from '../../version/claims/claim-ledger.js';
import {
  AttemptStatusSource,
  type AttemptStatus,
} from '../../version/claims/log-claim-gate.js';
import type {PeerCalls} from './peer-calls.js';

/** Longest wait for the host that holds a claim, in milliseconds; then the answer is unknown. */
const answerCallMs = 1000;

interface WireCall {
  readonly holder: string;
  readonly attempt: string;
}

interface WireReply {
  readonly kind: 'unknown' | 'answered' | 'in_progress' | 'not_started';
  readonly status?: number;
  readonly headers?: readonly {
    readonly name: string;
    readonly values: readonly string[];
  }[];
  readonly body?: Uint8Array;
}

/** Asks the host that holds a claim over the unary call `Answer`. */
export class GrpcAttemptStatusSource extends AttemptStatusSource {
  /**
   * @param calls - Calls to other hosts.
   */
  constructor(private readonly calls: PeerCalls) {
    super();
  }

  override async getStatus({
    host,
    attempt,
  }: ClaimEntry): Promise<AttemptStatus> {
    // A process is named after its host: HOST/UUID.
    const id = host.slice(0, host.lastIndexOf('/'));
    try {
      const reply = await this.calls.call<WireCall, WireReply>(
        'Answer',
        id,
        {holder: host, attempt},
        answerCallMs,
      );
      return fromWire(reply);
    } catch (err) {
      if (!(err instanceof FailureError)) throw err;
      return {kind: 'unknown'};
    }
  }
}

/**
 * Serves the unary call `Answer`.
 *
 * @param calls - Calls from other hosts.
 * @param describe - Tells what became of an attempt of this process.
 */
export function serveAttemptStatus(
  calls: PeerCalls,
  describe: (holder: Pick<ClaimEntry, 'host' | 'attempt'>) => AttemptStatus,
): void {
  calls.handle<WireCall, WireReply>('Answer', ({holder, attempt}) =>
    toWire(describe({host: holder, attempt})),
  );
}

function toWire(known: AttemptStatus): WireReply {
  switch (known.kind) {
    case 'in-progress':
      return {kind: 'in_progress'};
    case 'not-started':
      return {kind: 'not_started'};
    case 'unknown':
      return {kind: 'unknown'};
    case 'answered': {
      const {status, headers, body} = known.answer;
      const list = Object.entries(headers).map(([name, value]) => ({
        name,
        values: Array.isArray(value) ? value : [value],
      }));
      return {kind: 'answered', status, headers: list, body};
    }
  }
}

function fromWire(reply: WireReply): AttemptStatus {
  switch (reply.kind) {
    case 'in_progress':
      return {kind: 'in-progress'};
    case 'not_started':
      return {kind: 'not-started'};
    case 'unknown':
      return {kind: 'unknown'};
    case 'answered': {
      const {status = 0, headers = [], body = new Uint8Array()} = reply;
      if (status < 200 || status > 599) return {kind: 'unknown'};
      const entries = headers.map(({name, values}) => [
        name,
        values.length === 1 ? values[0] : [...values],
      ]);
      const answer = {
        status,
        headers: Object.fromEntries(entries) as Record<string, string>,
        body: Buffer.from(body),
      };
      return {kind: 'answered', answer};
    }
  }
}
