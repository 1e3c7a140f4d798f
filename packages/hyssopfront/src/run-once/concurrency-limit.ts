/**
 * Limits how many tasks run at once.
 */

/** Runs a task when fewer than the limit are running, in the order of the calls, and settles as the task does. */
export type ConcurrencyLimit = <T>(task: () => Promise<T>) => Promise<T>;

/** Creates a limit for tasks that are given to the returned function. */
export function createConcurrencyLimit(maximum: number): ConcurrencyLimit {
    const waiting: (() => void)[] = [];
    let running = 0;
    return async task => {
        if (running >= maximum) {
            // The task that ends passes its place on, so that no later call takes it.
            await new Promise<void>(resolve => waiting.push(resolve));
        }
        else {
            running += 1;
        }
        try {
            return await task();
        }
        finally {
            const next = waiting.shift();
            if (next === undefined) {
                running -= 1;
            }
            else {
                next();
            }
        }
    };
}
