import type {LogRecord} from '../connection/platform/log-client.js';
import {RecordSink, RecordSource} from '../version/record-relay.js';

/** Source and sink of one or more streams. */
export interface RecordRoute {
  readonly source: RecordSource;
  readonly sink: RecordSink;
}

/** Serves each stream from the part that follows it. */
class RoutedSource extends RecordSource {
  /** @param routes - Parts by stream. */
  constructor(private readonly routes: ReadonlyMap<string, RecordRoute>) {
    super();
  }

  override nextOffset(stream: string): number {
    return this.routes.get(stream)?.source.nextOffset(stream) ?? 0;
  }

  override recordsFrom(
    stream: string,
    from: number,
    maxBytes: number,
  ): readonly LogRecord[] {
    const route = this.routes.get(stream);
    return route?.source.recordsFrom(stream, from, maxBytes) ?? [];
  }
}

/** Gives relayed records to the part that follows their stream. */
class RoutedSink extends RecordSink {
  /** @param routes - Parts by stream. */
  constructor(private readonly routes: ReadonlyMap<string, RecordRoute>) {
    super();
  }

  override accept(stream: string, records: readonly LogRecord[]): void {
    this.routes.get(stream)?.sink.accept(stream, records);
  }
}

/**
 * Combines the parts that follow streams into one source and one sink.
 *
 * @param entries - Stream and the part that follows it.
 * @returns What a relay of these streams needs.
 */
export function routeRecords(
  entries: readonly (readonly [string, RecordRoute])[],
): RecordRoute & {readonly streams: readonly string[]} {
  const routes = new Map(entries);
  return {
    source: new RoutedSource(routes),
    sink: new RoutedSink(routes),
    streams: [...routes.keys()],
  };
}
