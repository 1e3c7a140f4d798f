/**
 * Calls that a control instance carries out for operators and backend servers.
 */
import type { Clock } from "@hyssopfront/coordination";

/** Calls in progress of an instance. */
export type CallsInProgress = {
    /** Wraps a call so that it rejects with the reason of the signal once that aborts, whatever becomes of it. */
    rejectAtStop<Arguments extends readonly unknown[], Result>(
        call: (...callArguments: Arguments) => Promise<Result>,
    ): (...callArguments: Arguments) => Promise<Result>;
    /** Waits until the calls that are in progress have ended, up to a timeout in milliseconds. */
    waitUntilEnded(timeoutMilliseconds: number): Promise<void>;
};

/** Returns what a promise resolves to, or rejects with the reason of the signal once that aborts. */
export async function rejectOnAbort<Result>(signal: AbortSignal, start: () => Promise<Result>): Promise<Result> {
    signal.throwIfAborted();
    let onAbort = () => {};
    const aborted = new Promise<never>((_resolve, reject) => {
        onAbort = () => reject(signal.reason as Error);
    });
    signal.addEventListener("abort", onAbort, { once: true });
    try {
        return await Promise.race([start(), aborted]);
    }
    finally {
        signal.removeEventListener("abort", onAbort);
    }
}

/** Tracks calls until the signal aborts. */
export function createCallsInProgress(clock: Clock, signal: AbortSignal): CallsInProgress {
    const calls = new Set<Promise<unknown>>();
    return {
        rejectAtStop: call => async (...callArguments) => {
            const result = rejectOnAbort(signal, () => call(...callArguments));
            calls.add(result);
            try {
                return await result;
            }
            finally {
                calls.delete(result);
            }
        },
        waitUntilEnded: async timeoutMilliseconds => {
            const waiting = new AbortController();
            await Promise.race([
                Promise.allSettled(calls),
                clock.sleep(timeoutMilliseconds, waiting.signal).catch(() => undefined),
            ]);
            waiting.abort();
        },
    };
}
