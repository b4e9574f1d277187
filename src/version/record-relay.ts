import type {LogRecord} from '../connection/platform/log-client.js';

/** Serves records of a stream to other hosts. */
export abstract class RecordSource {
  /**
   * Returns how far this host has read.
   *
   * @param stream - Name of the stream.
   * @returns Offset after the last record known to this host.
   */
  abstract nextOffset(stream: string): number;

  /**
   * Reads records that are kept in memory.
   *
   * @param stream - Name of the stream.
   * @param from - First offset to read.
   * @param maxBytes - Maximum size of the result as JSON, in bytes; a first record may exceed it.
   * @returns Records without gaps from `from` on; empty if `from` is no longer or not yet kept.
   */
  abstract recordsFrom(
    stream: string,
    from: number,
    maxBytes: number,
  ): readonly LogRecord[];
}

/** Receives records that another host relays. */
export abstract class RecordSink {
  /**
   * Accepts records. Known records and records after a gap are ignored.
   *
   * @param stream - Name of the stream.
   * @param records - Records in offset order.
   */
  abstract accept(stream: string, records: readonly LogRecord[]): void;
}
