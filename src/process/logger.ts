import {pino, type Logger as PinoLogger} from 'pino';
import {events, type EventName} from './events/catalogue.js';

/** Bytes of lines that wait for a reader of standard output. */
const maxBufferedBytes = 1024 * 1024;

/** Writes numbered events as JSON lines. */
export class Logger {
  private constructor(private readonly sink: PinoLogger) {}

  /**
   * Creates a logger that writes to standard error, so that commands can print to standard output.
   *
   * @param level - Least level to write; `silent` writes nothing.
   * @param fields - Fields of every line.
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
   * Creates a logger that writes to standard output and never waits for its reader: what does not fit
   * into the buffer is dropped and counted.
   *
   * @param level - Least level to write.
   * @param fields - Fields of every line.
   * @param onDrop - Called for each line that is dropped.
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
   * @param fields - Values of this case.
   */
  event(name: EventName, fields: Record<string, unknown> = {}): void {
    const {id, level, message} = events[name];
    this.sink[level]({event: id, ...fields}, message);
  }

  /**
   * Adds fields to all lines of a part.
   *
   * @param fields - Fields to add.
   * @returns A logger that shares the destination.
   */
  child(fields: Record<string, unknown>): Logger {
    return new Logger(this.sink.child(fields));
  }
}
