import {EventEmitter} from 'node:events';
import {fromEvent, type Stream} from 'most';

/** Publishes values as a `most` stream to all current observers. */
export class Subject<T> {
  private readonly emitter = new EventEmitter().setMaxListeners(0);

  /** Delivers each value that is published after the subscription. */
  readonly stream: Stream<T> = fromEvent<T>(
    'value',
    this.emitter as unknown as EventTarget,
  );

  /**
   * Publishes a value to the current observers.
   *
   * @param value - Value to publish.
   */
  next(value: T): void {
    this.emitter.emit('value', value);
  }
}

/**
 * Calls a function with each value of a stream until the subscription ends.
 *
 * @param stream - Stream to observe.
 * @param fn - Function that receives the values.
 * @returns A function that ends the subscription.
 */
export function subscribe<T>(
  stream: Stream<T>,
  fn: (value: T) => void,
): () => void {
  const subscription = stream.subscribe({
    next: fn,
    error: err => {
      // An error here means that `fn` threw, a programming error; the stream would swallow it.
      queueMicrotask(() => {
        throw err;
      });
    },
    complete: () => {},
  });
  return () => subscription.unsubscribe();
}
