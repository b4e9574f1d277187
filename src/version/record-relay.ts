import type {LogRecord} from '../connection/platform/log-client.js';

/** Serves records of a stream to other hosts. */
export abstract class RecordSource {
  /**
   * Tells how far this host has read.
   *
   * @param stream - Name of the stream.
   * @returns Offset of the next record that is not known here.
   */
  abstract nextOffset(stream: string): number;

  /**
   * Reads records that are kept in memory.
   *
   * @param stream - Name of the stream.
   * @param from - First offset wanted.
   * @param maxBytes - Greatest size of the result as JSON, in bytes; one record is always returned.
   * @returns Records without gaps from `from` on; empty if `from` is no longer or not yet kept.
   */
  abstract recordsFrom(
    stream: string,
    from: number,
    maxBytes: number,
  ): readonly LogRecord[];
}

/** Takes records that another host relayed. */
export abstract class RecordSink {
  /**
   * Takes records. Those already known and those after a gap are ignored.
   *
   * @param stream - Name of the stream.
   * @param records - Records in offset order.
   */
  abstract accept(stream: string, records: readonly LogRecord[]): void;
}
