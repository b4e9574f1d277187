import {EventEmitter} from 'node:events';
import {fromEvent, type Stream} from 'most';

/** Entry point for values that a task publishes as a `most` stream. */
export class Subject<T> {
  private readonly emitter = new EventEmitter().setMaxListeners(0);

  /** Stream of all values published after the observer subscribed. */
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
 * Calls a function with each value of a stream until it is unsubscribed.
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
      // An observer that throws is a programming error; it must not be lost inside the stream.
      queueMicrotask(() => {
        throw err;
      });
    },
    complete: () => {},
  });
  return () => subscription.unsubscribe();
}
