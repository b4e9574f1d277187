import {pino, type Logger as PinoLogger} from 'pino';
import {events, type EventName} from './events/catalogue.js';

/** Maximum size of buffered lines that standard output has not accepted, in bytes. */
const maxBufferedBytes = 1024 * 1024;

/** Writes numbered events as JSON lines. */
export class Logger {
  private constructor(private readonly sink: PinoLogger) {}

  /**
   * Creates a logger that writes to standard error, so that commands can print to standard output.
   *
   * @param level - Minimum level to write; `silent` writes nothing.
   * @param fields - Fields added to every line.
   * @returns The logger.
   */
  static create(level: string, fields: Record<string, unknown> = {}): Logger {
    const sink = pino(
      {level, base: fields, timestamp: pino.stdTimeFunctions.isoTime},
      pino.destination({fd: 2, sync: false}),
    );
    return new Logger(sink);
  }

  /**
   * Creates a logger that writes to standard output through a bounded buffer and never blocks on its
   * reader: lines that do not fit into the buffer are dropped.
   *
   * @param level - Minimum level to write.
   * @param fields - Fields added to every line.
   * @param onDrop - Called for each dropped line.
   * @returns The logger.
   */
  static createBounded(
    level: string,
    fields: Record<string, unknown>,
    onDrop: () => void,
  ): Logger {
    const destination = pino.destination({
      fd: 1,
      sync: false,
      maxLength: maxBufferedBytes,
    });
    destination.on('drop', onDrop);
    const sink = pino(
      {level, base: fields, timestamp: pino.stdTimeFunctions.epochTime},
      destination,
    );
    return new Logger(sink);
  }

  /**
   * Writes one event.
   *
   * @param name - Name in the event catalogue.
   * @param fields - Values that belong to this occurrence.
   */
  event(name: EventName, fields: Record<string, unknown> = {}): void {
    const {id, level, message} = events[name];
    this.sink[level]({event: id, ...fields}, message);
  }

  /**
   * Creates a logger for a component.
   *
   * @param fields - Fields added to each of its lines.
   * @returns A logger that writes to the same destination.
   */
  child(fields: Record<string, unknown>): Logger {
    return new Logger(this.sink.child(fields));
  }
}
