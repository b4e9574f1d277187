import type {ServerResponse} from 'node:http';
import {every, type Clock} from '../../process/clock.js';
import {FailureError} from '../../process/errors/catalogue.js';
import {subscribe} from '../../process/subject.js';
import type {ConfigRecord} from '../../version/config-state.js';
import {
  configStream,
  type ConfigChange,
  type ConfigStore,
} from '../../version/config-store.js';
import type {ResourceKind} from '../../version/resources/kinds.js';

/** Interval between heartbeats, in milliseconds. */
const heartbeatMs = 5000;
/** Maximum unsent bytes of a watch before it is aborted; its reader resumes from an offset. */
const maxUnsentBytes = 1_048_576;
/** Maximum unsent bytes of a backlog before the response ends early; the reader resumes after it. */
const maxBacklogBytes = 524_288;
/** Maximum number of concurrent watches on one host. */
const maxWatches = 256;

/** Streams changes of resources as JSON lines. */
export class ResourceWatches {
  private readonly open = new Set<ServerResponse>();

  /**
   * @param store - Configuration store that publishes the changes.
   * @param clock - Clock for the heartbeats.
   */
  constructor(
    private readonly store: ConfigStore,
    private readonly clock: Clock,
  ) {}

  /** Ends all streams, so that their readers resume on another host. */
  endAll(): void {
    for (const res of this.open) res.end();
  }

  /**
   * Responds with a stream of changes that lasts until the client disconnects.
   *
   * @param res - Response whose head was not sent yet.
   * @param from - Configuration offset of the first change to send.
   * @param filter - Kind of the resources, and a name to watch only one of them.
   * @throws {@link FailureError} of kind `watch-too-old` or `watch-limit`.
   */
  serve(
    res: ServerResponse,
    from: number,
    filter: {kind: ResourceKind; name?: string},
  ): void {
    const {store} = this;
    const first = store.firstKept;
    if (from < first)
      throw new FailureError({kind: 'watch-too-old', from, first});
    if (this.open.size >= maxWatches) {
      throw new FailureError({kind: 'watch-limit', limit: maxWatches});
    }
    this.open.add(res);
    res.writeHead(200, {
      'content-type': 'application/jsonl',
      'cache-control': 'no-store',
    });
    const send = (line: unknown) => {
      if (res.writableEnded || res.destroyed) return;
      res.write(`${JSON.stringify(line)}\n`);
      if (res.writableLength > maxUnsentBytes) res.destroy();
    };
    const heartbeat = () =>
      send({type: 'heartbeat', offset: Math.max(from, store.state.offset)});
    const sendChange = (change: Omit<ConfigChange, 'state'>) => {
      const line = toLine(change, from, filter);
      if (line) send(line);
    };
    const backlog = store.source.recordsFrom(configStream, from, Infinity);
    for (const {offset, data} of backlog) {
      const record = data as ConfigRecord;
      const known = store.state.recentWrites.get(record?.writeId);
      if (known?.offset !== offset) continue;
      sendChange({record, offset, outcome: known.outcome});
      // The lines written so far are still delivered; the reader resumes after them.
      if (res.writableLength > maxBacklogBytes) {
        this.open.delete(res);
        res.end();
        return;
      }
    }
    heartbeat();
    const stopChanges = subscribe(store.changes, sendChange);
    // Installing a snapshot skips records that this watch would have to send.
    const stopInstalls = subscribe(store.installed, () => res.end());
    const stopHeartbeat = every(this.clock, heartbeatMs, heartbeat);
    res.once('close', () => {
      this.open.delete(res);
      stopChanges();
      stopInstalls();
      stopHeartbeat();
    });
  }
}

function toLine(
  {record, offset, outcome}: Omit<ConfigChange, 'state'>,
  from: number,
  filter: {kind: ResourceKind; name?: string},
) {
  if (offset < from || outcome.kind !== 'accepted') return undefined;
  if (record.kind !== filter.kind) return undefined;
  if (filter.name !== undefined && record.name !== filter.name)
    return undefined;
  return {
    type: record.op,
    offset,
    next: offset + 1,
    kind: record.kind,
    name: record.name,
    generation: outcome.generation,
    spec: record.spec,
    writtenBy: record.actor,
    writtenAt: record.time,
    writeId: record.writeId,
  };
}
