import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Clock} from '../../process/clock.js';
import {FailureError} from '../../process/errors/catalogue.js';
import type {Logger} from '../../process/logger.js';
import type {Settings} from '../../process/settings.js';
import {
  getResource,
  listResources,
  resourceKey,
} from '../../version/config-state.js';
import type {ConfigStore} from '../../version/config-store.js';
import type {ConfigWriter} from '../../version/config-writer.js';
import {
  resourceKinds,
  type Resource,
  type ResourceKind,
} from '../../version/resources/kinds.js';
import {
  computeStatus,
  type StatusParts,
} from '../../version/status/resource-status.js';
import {RouteHandler} from './route-handler.js';
import {authenticateOperator} from './resource-auth.js';
import {sendFailure} from './resource-problem.js';
import {
  apiPrefix,
  parseKind,
  parseName,
  parsePrecondition,
  parseTags,
  readObject,
} from './resource-request.js';
import {ResourceWatches} from './resource-watch.js';
import {parseWriteId, performWrite} from './resource-writes.js';

/** Maximum body size of a write, in bytes; the largest spec has a few hundred keys. */
const maxBodyBytes = 262_144;

/** Process-wide objects that the resource API uses. */
export interface ResourceApiParts {
  readonly operators: Settings['operators'];
  readonly store: ConfigStore;
  readonly writer: ConfigWriter;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly status: StatusParts;
  /** Whether the last read of the log succeeded. */
  readonly logUp: () => boolean;
}

/** Serves the resource API: resources, lists, watches, writes and the status of this host. */
export class ResourceHandler extends RouteHandler {
  private readonly watches: ResourceWatches;

  /**
   * @param parts - Process-wide objects that the resource API uses.
   */
  constructor(private readonly parts: ResourceApiParts) {
    super();
    this.watches = new ResourceWatches(parts.store, parts.clock);
  }

  override matches(path: string): boolean {
    return path.startsWith(apiPrefix);
  }

  override async handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    try {
      await this.serve(req, res);
    } catch (err) {
      if (!(err instanceof FailureError)) throw err;
      if (res.headersSent) {
        res.destroy();
        return;
      }
      const conditional =
        req.headers['if-match'] !== undefined ||
        req.headers['if-none-match'] !== undefined;
      const lost = err.failure.kind === 'resource-conflict' && conditional;
      if (err.failure.kind.startsWith('operator-')) {
        this.parts.logger.event('operatorRefused', {reason: err.failure.kind});
      }
      // Otherwise the rest of an unread body would be parsed as the next request.
      if (!req.complete) res.setHeader('connection', 'close');
      sendFailure(res, err.failure, lost ? {status: 412} : {});
    }
  }

  /** Ends all watches, so that the server can close. */
  close(): void {
    this.watches.endAll();
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const {operators, store} = this.parts;
    const actor = authenticateOperator(operators, store.state, req);
    const url = new URL(req.url ?? '/', 'http://host');
    const segments = url.pathname.slice(apiPrefix.length).split('/');
    const method = req.method ?? 'GET';
    const reading = method === 'GET' || method === 'HEAD';
    const [first, second] = segments;
    if (segments.length === 2 && first === 'writes' && reading) {
      return this.serveWrite(res, decode(second));
    }
    if (segments.length === 1 && first === 'status' && reading) {
      return this.serveHostStatus(res);
    }
    const kind = parseKind(first);
    if (segments.length > 2) {
      throw new FailureError({
        kind: 'resource-name-invalid',
        name: segments.slice(1).join('/'),
      });
    }
    const name = second ? parseName(decode(second)) : undefined;
    const watch = url.searchParams.get('watch');
    if (method === 'GET' && watch !== null) {
      return this.watches.serve(res, parseOffset(watch), {kind, name});
    }
    if (reading) {
      return name === undefined
        ? this.serveList(res, kind)
        : this.serveResource(req, res, kind, name);
    }
    if (name === undefined || !['PUT', 'PATCH', 'DELETE'].includes(method)) {
      throw new FailureError({kind: 'resource-method', method});
    }
    await this.serveChange(req, res, {
      method: method as 'PUT' | 'PATCH' | 'DELETE',
      kind,
      name,
      actor,
      dryRun: url.searchParams.get('dryRun') === 'true',
    });
  }

  private async serveChange(
    req: IncomingMessage,
    res: ServerResponse,
    target: {
      method: 'PUT' | 'PATCH' | 'DELETE';
      kind: ResourceKind;
      name: string;
      actor: string;
      dryRun: boolean;
    },
  ): Promise<void> {
    const {store, status, logger} = this.parts;
    const precondition = parsePrecondition(req);
    const writeId = parseWriteId(req);
    const body =
      target.method === 'DELETE'
        ? undefined
        : await readObject(req, maxBodyBytes);
    const response = await performWrite(this.parts, {
      ...target,
      body,
      precondition,
      writeId,
    });
    if (response.kind === 'invalid') {
      const {path, reason} = response.errors[0];
      const {errors} = response;
      return sendFailure(
        res,
        {kind: 'resource-invalid', path, reason},
        {errors},
      );
    }
    const {kind, name, actor, dryRun} = target;
    const resource = dryRun ? undefined : getResource(store.state, kind, name);
    if (!dryRun && response.change !== 'unchanged') {
      const {change, generation} = response;
      logger.event('operatorWrite', {actor, kind, name, change, generation});
    }
    res.statusCode = response.change === 'created' && !dryRun ? 201 : 200;
    if (response.change !== 'deleted') {
      res.setHeader('etag', `"${response.generation}"`);
    }
    sendJson(res, {
      ...response,
      kind,
      name,
      dryRun,
      resource: resource && {
        ...resource,
        status: computeStatus(status, resource),
      },
      answeredBy: status.host,
    });
  }

  private serveResource(
    req: IncomingMessage,
    res: ServerResponse,
    kind: ResourceKind,
    name: string,
  ): void {
    const {store, status} = this.parts;
    const found: Resource | undefined = getResource(store.state, kind, name);
    if (!found) {
      const resource = resourceKey(kind, name);
      throw new FailureError({kind: 'resource-not-found', resource});
    }
    res.setHeader('etag', `"${found.generation}"`);
    res.setHeader('x-config-offset', store.state.offset);
    const known = req.headers['if-none-match'];
    if (known && parseTags('If-None-Match', known).includes(found.generation)) {
      res.statusCode = 304;
      res.end();
      return;
    }
    sendJson(res, {...found, status: computeStatus(status, found)});
  }

  private serveList(res: ServerResponse, kind: ResourceKind): void {
    const {store, status} = this.parts;
    const {state} = store;
    res.setHeader('x-config-offset', state.offset);
    sendJson(res, {
      kind,
      offset: state.offset,
      items: listResources(state, kind),
      answeredBy: status.host,
    });
  }

  private serveWrite(res: ServerResponse, writeId: string): void {
    const {store, status} = this.parts;
    const {state} = store;
    const known = state.recentWrites.get(writeId);
    if (!known) {
      throw new FailureError({
        kind: 'write-not-found',
        writeId,
        readUpTo: state.offset,
      });
    }
    sendJson(res, {writeId, ...known, answeredBy: status.host});
  }

  private serveHostStatus(res: ServerResponse): void {
    const {store, status, logUp} = this.parts;
    const {state} = store;
    const counts = Object.values(resourceKinds).map(kind => [
      kind,
      state.resources[kind].size,
    ]);
    sendJson(res, {
      answeredBy: status.host,
      configOffset: state.offset,
      log: logUp() ? 'up' : 'down',
      resources: Object.fromEntries(counts) as Record<string, number>,
      zones: status.zones.list().map(zone => ({
        zone: zone.zone,
        state:
          getResource(state, 'zone', zone.zone)?.spec.state ?? 'undeclared',
        configOffset: zone.offset ?? 'Unknown',
        hosts: zone.hosts,
        since: new Date(zone.sinceMs).toISOString(),
      })),
    });
  }
}

function parseOffset(text: string): number {
  if (/^\d{1,15}$/.test(text)) return Number(text);
  const reason = 'must be an offset';
  throw new FailureError({kind: 'resource-invalid', path: '?watch', reason});
}

function decode(segment: string): string {
  try {
    return decodeURIComponent(segment);
  } catch {
    throw new FailureError({kind: 'resource-name-invalid', name: segment});
  }
}

function sendJson(res: ServerResponse, value: unknown): void {
  res.setHeader('content-type', 'application/json');
  res.end(JSON.stringify(value));
}
