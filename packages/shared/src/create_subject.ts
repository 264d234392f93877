import { type Scheduler, type Sink, type Source, Stream } from "most";

/** A stream whose owner emits its values. */
export interface Subject<T> {
  /** Emitted values; those before the first observer are buffered for it. */
  readonly stream: Stream<T>;
  /** Emits a value to every observer; ignored after `end`. */
  next(value: T): void;
  /** Ends the stream for current and later observers. */
  end(): void;
}

/**
 * Creates a subject. Values emitted before the first observer subscribes are
 * buffered, without a bound, and go to that observer; later observers get only
 * the values emitted after they subscribe.
 */
export function createSubject<T>(): Subject<T> {
  const observers = new Set<{ sink: Sink<T>; scheduler: Scheduler }>();
  const buffered: T[] = [];
  let isStarted = false;
  let isEnded = false;
  const source: Source<T> = {
    run(sink, scheduler) {
      const observer = { sink, scheduler };
      if (!isStarted) {
        isStarted = true;
        for (const value of buffered.splice(0)) {
          sink.event(scheduler.now(), value);
        }
      }
      if (isEnded) sink.end(scheduler.now());
      else observers.add(observer);
      return { dispose: () => void observers.delete(observer) };
    },
  };
  return {
    stream: new Stream(source),
    next(value) {
      if (isEnded) return;
      if (!isStarted) {
        buffered.push(value);
        return;
      }
      for (const { sink, scheduler } of [...observers]) {
        sink.event(scheduler.now(), value);
      }
    },
    end() {
      isEnded = true;
      for (const { sink, scheduler } of [...observers]) {
        sink.end(scheduler.now());
      }
      observers.clear();
    },
  };
}
