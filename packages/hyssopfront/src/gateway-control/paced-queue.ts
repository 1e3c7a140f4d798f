/**
 * Queue whose values are handled in order and in short steps, so that other tasks run meanwhile.
 */
import type { Clock } from "@hyssopfront/coordination";
import { createYieldIfNeeded } from "../steering/yield-if-needed.js";

/** Queue of values that wait to be handled. */
export type PacedQueue<Value> = {
    add(values: readonly Value[]): void;
    /** Resolves once all values that have been added before are handled. */
    waitUntilHandled(): Promise<void>;
};

/** Creates an empty queue. `handle` must not throw. */
export function createPacedQueue<Value>(clock: Clock, handle: (value: Value) => void): PacedQueue<Value> {
    let handled = Promise.resolve();
    const handleAll = async (values: readonly Value[]) => {
        const yieldIfNeeded = createYieldIfNeeded(clock);
        for (const value of values) {
            await yieldIfNeeded();
            handle(value);
        }
    };
    return {
        add: values => {
            handled = handled.then(() => handleAll(values));
        },
        waitUntilHandled: () => handled,
    };
}
