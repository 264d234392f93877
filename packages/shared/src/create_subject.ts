import { type Scheduler, type Sink, type Source, Stream } from "most";

/** A stream that its owner feeds. */
export interface Subject<T> {
  /** Everything fed from the first observer on, and what waited for it. */
  readonly stream: Stream<T>;
  /** Hands a value to every observer. */
  next(value: T): void;
  /** Ends the stream. */
  end(): void;
}

/**
 * Creates a subject. Values fed before the first observer wait for it; later
 * observers see only what is fed after they came.
 */
export function createSubject<T>(): Subject<T> {
  const observers = new Set<{ sink: Sink<T>; scheduler: Scheduler }>();
  const waiting: T[] = [];
  let started = false;
  let ended = false;
  const source: Source<T> = {
    run(sink, scheduler) {
      const observer = { sink, scheduler };
      if (!started) {
        started = true;
        for (const value of waiting.splice(0)) {
          sink.event(scheduler.now(), value);
        }
      }
      if (ended) sink.end(scheduler.now());
      else observers.add(observer);
      return { dispose: () => void observers.delete(observer) };
    },
  };
  return {
    stream: new Stream(source),
    next(value) {
      if (ended) return;
      if (!started) {
        waiting.push(value);
        return;
      }
      for (const { sink, scheduler } of [...observers]) {
        sink.event(scheduler.now(), value);
      }
    },
    end() {
      ended = true;
      for (const { sink, scheduler } of [...observers]) {
        sink.end(scheduler.now());
      }
      observers.clear();
    },
  };
}
