/**
 * Waiting in straight-line code: mutual exclusion, notification and bounded pauses.
 */
import { setMaxListeners } from "node:events";
import type { Clock } from "../clock/clock.js";

/** Abort controller whose signal many tasks wait on. */
export function createSharedAbortController(): AbortController {
    const controller = new AbortController();
    // One listener per waiting task is expected; the default limit would print a warning about a leak.
    setMaxListeners(0, controller.signal);
    return controller;
}

export type Mutex = <T>(task: () => Promise<T>) => Promise<T>;

/** Runs tasks one after another, in the order in which they were given. */
export function createMutex(): Mutex {
    let last: Promise<unknown> = Promise.resolve();
    return task => {
        const result = last.then(task);
        last = result.catch(() => undefined);
        return result;
    };
}

export type Notifier = {
    notify(): void;
    /** Returns a function that ends the subscription. */
    subscribe(listener: () => void): () => void;
};

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

/** Waits for the duration, the next notification or the abort of the signal, whichever comes first; never rejects. */
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
    // A remainder below the resolution of the clock would not advance it, and its caller would wait again without end.
    await clock.sleep(Math.max(1, milliseconds), controller.signal).catch(() => undefined);
    unsubscribe();
    signal.removeEventListener("abort", wake);
}

/** Waits until the condition holds, looking again after each notification. Returns false at the deadline or abort. */
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
