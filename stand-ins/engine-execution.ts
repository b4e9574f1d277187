import {createHash} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import type {EngineFailure} from './engine-model.js';
import type {EngineAnswer} from './engine-answer.js';

/** How an execution stands. */
export type ExecutionState = 'running' | 'finished' | 'cancelled' | 'failed';

/** One execution of a completion request, with the answer's events made so far. */
export class EngineExecution {
  state: ExecutionState = 'running';
  /** SHA-256 digest of the answer's bytes once it is complete. */
  answerSha256: string | undefined;
  /** Tokens generated. */
  tokens = 0;
  cachedTokens = 0;
  /** Time since which no connection takes the answer, if so. */
  unattachedSinceMs: number | undefined;
  private readonly events: string[] = [];
  private readonly readers = new Map<ServerResponse, {next: number}>();

  /**
   * @param id - Value of `X-Request-Id`.
   * @param path - Path of the request.
   * @param answer - Content of the answer.
   */
  constructor(
    readonly id: string,
    readonly path: string,
    readonly answer: EngineAnswer,
  ) {}

  /** Number of connections that take the answer. */
  get readerCount(): number {
    return this.readers.size;
  }

  /** SHA-256 digest of the request's body. */
  get bodySha256(): string {
    return this.answer.bodySha256;
  }

  /** Sends the events after `after` to a connection, and all later ones. */
  attach(res: ServerResponse, after: number): void {
    this.unattachedSinceMs = undefined;
    this.readers.set(res, {next: after});
    this.flush();
    if (this.state !== 'running') this.end();
  }

  /** Forgets a connection. */
  detach(res: ServerResponse, nowMs: number): void {
    if (!this.readers.delete(res) || this.readers.size > 0) return;
    this.unattachedSinceMs = nowMs;
  }

  /** Adds generated tokens to the answer. */
  addTokens(count: number): void {
    for (let i = 0; i < count; i++) {
      if (this.answer.stream) {
        this.events.push(this.answer.tokenEvent(this.tokens));
      }
      this.tokens++;
    }
    this.flush();
  }

  /** Completes the answer. */
  finish(): void {
    const usage = {
      promptTokens: this.answer.promptTokens,
      cachedTokens: this.cachedTokens,
    };
    const last = this.answer.stream
      ? this.answer.endEvents(usage)
      : [this.answer.whole(usage)];
    this.events.push(...last);
    const hash = createHash('sha256').update(this.events.join(''));
    this.answerSha256 = hash.digest('hex');
    this.state = 'finished';
    this.flush();
    this.end();
  }

  /** Ends the execution without a complete answer; part of an answer is broken off visibly. */
  fail(state: 'cancelled' | 'failed', reason: EngineFailure | 'cancelled') {
    this.state = state;
    for (const res of this.readers.keys()) {
      if (res.headersSent || reason === 'crashed') res.destroy();
      else sendFailure(res, reason);
    }
    this.readers.clear();
  }

  /** Breaks the connections that take the answer; the execution goes on. */
  breakConnections(): void {
    for (const res of this.readers.keys()) res.destroy();
  }

  /** Frees the answer's events; only the digest is kept. */
  dropAnswer(): void {
    this.events.length = 0;
  }

  private flush(): void {
    for (const [res, reader] of this.readers) {
      if (reader.next >= this.events.length) continue;
      if (!res.headersSent) this.sendHead(res);
      res.write(this.events.slice(reader.next).join(''));
      reader.next = this.events.length;
    }
  }

  private end(): void {
    for (const res of this.readers.keys()) {
      if (this.state === 'finished') {
        if (!res.headersSent) this.sendHead(res);
        res.end();
      } else {
        res.destroy();
      }
    }
    this.readers.clear();
  }

  private sendHead(res: ServerResponse): void {
    res.writeHead(200, {
      'content-type': this.answer.stream
        ? 'text/event-stream'
        : 'application/json',
      'x-request-id': this.id,
    });
  }
}

const failureStatus = {
  'too-long': 400,
  overloaded: 503,
  fault: 500,
  cancelled: 499,
} as const;

function sendFailure(
  res: ServerResponse,
  reason: keyof typeof failureStatus,
): void {
  res.writeHead(failureStatus[reason], {'content-type': 'application/json'});
  res.end(JSON.stringify({error: {type: reason, message: reason}}));
}
