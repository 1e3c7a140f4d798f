/**
 * Synchronization of asynchronous tasks: mutual exclusion, notification, yielding and interruptible waiting.
 */
import { setMaxListeners } from "node:events";
import type { Clock } from "../clock/clock.js";

/** Creates an abort controller whose signal many tasks wait for. */
export function createSharedAbortController(): AbortController {
    const controller = new AbortController();
    // One listener per waiting task is expected; the default limit would print a leak warning.
    setMaxListeners(0, controller.signal);
    return controller;
}

/** Runs a task when all tasks given before it have ended, and settles as the task does. */
export type Mutex = <T>(task: () => Promise<T>) => Promise<T>;

/** Creates a mutex that runs tasks one at a time, in the order of the calls. */
export function createMutex(): Mutex {
    let last: Promise<unknown> = Promise.resolve();
    return task => {
        const result = last.then(task);
        last = result.catch(() => undefined);
        return result;
    };
}

/** Notifies tasks that wait for a change of state. */
export type Notifier = {
    notify(): void;
    /** Returns a function that ends the subscription. */
    subscribe(listener: () => void): () => void;
};

/** Creates a notifier without subscriptions. */
export function createNotifier(): Notifier {
    const listeners = new Set<() => void>();
    return {
        notify: () => [...listeners].forEach(listener => listener()),
        subscribe: listener => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
    };
}

/** Resolves in a later turn of the event loop, after what has arrived meanwhile is handled. */
export const yieldToOtherTasks = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/**
 * Waits for the duration, the next notification or the abort of the signal, whichever comes first. The returned promise
 * never rejects.
 */
export async function pause(
    clock: Clock,
    milliseconds: number,
    notifier: Notifier,
    signal: AbortSignal,
): Promise<void> {
    if (signal.aborted) {
        return;
    }
    const controller = new AbortController();
    const wake = () => controller.abort();
    const unsubscribe = notifier.subscribe(wake);
    signal.addEventListener("abort", wake, { once: true });
    // A remainder below the resolution of the clock would not advance it, and the caller would loop forever.
    await clock.sleep(Math.max(1, milliseconds), controller.signal).catch(() => undefined);
    unsubscribe();
    signal.removeEventListener("abort", wake);
}

/**
 * Waits until the condition holds, checking it after each notification.
 *
 * @returns False when the deadline has passed or the signal was aborted first.
 */
export async function waitUntil(
    clock: Clock,
    condition: () => boolean,
    notifier: Notifier,
    signal: AbortSignal,
    deadlineMilliseconds = Infinity,
): Promise<boolean> {
    const end = clock.monotonicMilliseconds() + deadlineMilliseconds;
    while (!condition()) {
        const remainingMilliseconds = end - clock.monotonicMilliseconds();
        if (signal.aborted || remainingMilliseconds <= 0) {
            return false;
        }
        await pause(clock, Math.min(remainingMilliseconds, 60_000), notifier, signal);
    }
    return true;
}
