/**
 * Event emitter that is observed as a `most` stream.
 */
import { type Scheduler, type Sink, Stream } from "most";

/** Emits values to the observers of a stream. */
export type Broadcast<A> = {
    /** Passes a value to the current observers. An observer that throws ends only its own stream. */
    emit(value: A): void;
    readonly stream: Stream<A>;
};

/** Creates a broadcast without replay: an observer receives only the values that are emitted after it has started. */
export function createBroadcast<A>(): Broadcast<A> {
    const observers = new Set<{ readonly sink: Sink<A>; readonly scheduler: Scheduler }>();
    const source = {
        run: (sink: Sink<A>, scheduler: Scheduler) => {
            const observer = { sink, scheduler };
            observers.add(observer);
            return {
                dispose: () => {
                    observers.delete(observer);
                },
            };
        },
    };
    const emit = (value: A) => {
        [...observers].forEach(observer => {
            const time = observer.scheduler.now();
            try {
                observer.sink.event(time, value);
            }
            catch (error) {
                observers.delete(observer);
                observer.sink.error(time, error as Error);
            }
        });
    };
    return { emit, stream: new Stream<A>(source) };
}
