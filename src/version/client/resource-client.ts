import {Agent, request, type Dispatcher} from 'undici';
import {FailureError} from '../../process/errors/catalogue.js';
import type {Resource, ResourceKind} from '../resources/kinds.js';
import type {ResourceStatus} from '../status/resource-status.js';

/** Timeout of a call, in milliseconds; a write may take five seconds. */
const callTimeoutMs = 10_000;

/** Members of a problem document (RFC 9457) that the commands use. */
export interface Problem {
  readonly status: number;
  readonly reason: string;
  readonly title: string;
  readonly detail: string;
  readonly hint?: string;
  readonly accepted?: 'no' | 'unknown';
  readonly errors?: readonly {path: string; reason: string}[];
}

/** Response of the resource API: the body, or a problem. */
export type ApiResponse<T> =
  {kind: 'ok'; body: T} | {kind: 'problem'; problem: Problem};

/** Resource as a host returns it. */
export type ResourceWithStatus = Resource & {readonly status: ResourceStatus};

/** List of the resources of one kind. */
export interface ResourceList {
  readonly kind: ResourceKind;
  /** Offset from which a watch continues the list. */
  readonly offset: number;
  readonly items: readonly Resource[];
  readonly answeredBy: string;
}

/** Response to a write. */
export interface WriteResponse {
  readonly change: 'created' | 'updated' | 'deleted' | 'unchanged';
  readonly generation: number;
  readonly offset?: number;
  readonly warnings: readonly string[];
}

/** Outcome of an earlier write. */
export interface WriteLookup {
  readonly writeId: string;
  readonly offset: number;
  readonly outcome: {readonly kind: string; readonly generation?: number};
}

/** Status of one host, and of the zones as known to it. */
export interface HostStatus {
  readonly answeredBy: string;
  readonly configOffset: number;
  readonly log: 'up' | 'down';
  readonly resources: Readonly<Record<string, number>>;
  readonly zones: readonly {
    readonly zone: string;
    readonly state: string;
    readonly configOffset: number | 'Unknown';
    readonly hosts: number;
    readonly since: string;
  }[];
}

/** Precondition and id of a write. */
export interface WriteOptions {
  /** Generation that must be current; 0 if the resource must not exist. */
  readonly base: number;
  readonly writeId: string;
  readonly dryRun?: boolean;
}

/** HTTP client of the resource API of one host. */
export class ResourceClient {
  private readonly agent = new Agent({connections: 4});

  /**
   * @param host - Base URL of the host.
   * @param token - Bearer token of the operator.
   */
  constructor(
    readonly host: string,
    private readonly token: string,
  ) {}

  /** Reads one resource with its status. */
  get(kind: string, name: string): Promise<ApiResponse<ResourceWithStatus>> {
    return this.call('GET', `${kind}/${encodeURIComponent(name)}`);
  }

  /** Lists the resources of one kind. */
  list(kind: string): Promise<ApiResponse<ResourceList>> {
    return this.call('GET', kind);
  }

  /** Reads the status of the host. */
  status(): Promise<ApiResponse<HostStatus>> {
    return this.call('GET', 'status');
  }

  /** Looks up the outcome of a write. */
  lookUp(writeId: string): Promise<ApiResponse<WriteLookup>> {
    return this.call('GET', `writes/${encodeURIComponent(writeId)}`);
  }

  /** Creates or replaces one resource; deletes it if `spec` is absent. */
  write(
    target: {kind: string; name: string; spec?: unknown},
    options: WriteOptions,
  ): Promise<ApiResponse<WriteResponse>> {
    const {kind, name, spec} = target;
    const query = options.dryRun ? '?dryRun=true' : '';
    return this.call(
      spec === undefined ? 'DELETE' : 'PUT',
      `${kind}/${encodeURIComponent(name)}${query}`,
      spec === undefined ? undefined : {kind, name, spec},
      {
        'write-id': options.writeId,
        ...(options.base === 0
          ? {'if-none-match': '*'}
          : {'if-match': `"${options.base}"`}),
      },
    );
  }

  /**
   * Watches the changes of one kind.
   *
   * @param kind - Kind to watch.
   * @param from - First configuration offset to return.
   * @param signal - Ends the watch.
   * @returns Parsed lines, heartbeats included, until the host ends the stream.
   * @throws {@link FailureError} of kind `host-unreachable` or `host-answer-unexpected`.
   */
  async *watch(
    kind: string,
    from: number,
    signal: AbortSignal,
  ): AsyncGenerator<Record<string, unknown>> {
    const res = await this.send('GET', `${kind}?watch=${from}`, {signal});
    if (res.statusCode !== 200) {
      const problem = (await res.body.json()) as Problem;
      const reason = `HTTP status ${res.statusCode}: ${problem.detail}`;
      throw new FailureError({
        kind: 'host-answer-unexpected',
        host: this.host,
        reason,
      });
    }
    let rest = '';
    try {
      for await (const chunk of res.body) {
        const lines = (rest + String(chunk)).split('\n');
        rest = lines.pop() as string;
        for (const line of lines) {
          yield JSON.parse(line) as Record<string, unknown>;
        }
      }
    } catch (err) {
      if (signal.aborted) return;
      throw this.unreachable(err);
    }
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async call<T>(
    method: 'GET' | 'PUT' | 'DELETE',
    path: string,
    body?: unknown,
    headers: Record<string, string> = {},
  ): Promise<ApiResponse<T>> {
    const signal = AbortSignal.timeout(callTimeoutMs);
    const res = await this.send(method, path, {body, headers, signal});
    let value: unknown;
    try {
      value = await res.body.json();
    } catch {
      throw new FailureError({
        kind: 'host-answer-unexpected',
        host: this.host,
        reason: `HTTP status ${res.statusCode} without a JSON body`,
      });
    }
    if (res.statusCode < 300) return {kind: 'ok', body: value as T};
    return {kind: 'problem', problem: value as Problem};
  }

  private async send(
    method: 'GET' | 'PUT' | 'DELETE',
    path: string,
    options: {
      body?: unknown;
      headers?: Record<string, string>;
      signal: AbortSignal;
    },
  ): Promise<Dispatcher.ResponseData> {
    try {
      return await request(new URL(`/api/v1/${path}`, this.host), {
        method,
        dispatcher: this.agent,
        signal: options.signal,
        headers: {
          ...options.headers,
          authorization: `Bearer ${this.token}`,
          ...(options.body !== undefined && {
            'content-type': 'application/json',
          }),
        },
        body:
          options.body === undefined ? undefined : JSON.stringify(options.body),
      });
    } catch (err) {
      throw this.unreachable(err);
    }
  }

  private unreachable(err: unknown): FailureError {
    const reason = (err as Error).message || (err as Error).name;
    return new FailureError(
      {kind: 'host-unreachable', host: this.host, reason},
      {cause: err},
    );
  }
}
