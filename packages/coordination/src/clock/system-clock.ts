import { performance } from "node:perf_hooks";
import type { Clock } from "./clock.js";

/**
 * Creates the clock of this process. It is based on CLOCK_MONOTONIC and so keeps running while the process is stopped.
 *
 * @returns A stateless clock.
 */
export function createSystemClock(): Clock {
    return {
        monotonicMilliseconds: () => performance.now(),
        wallTime: () => new Date(),
        sleep: (milliseconds, signal) =>
            new Promise((resolve, reject) => {
                if (signal?.aborted) {
                    reject(signal.reason);
                    return;
                }
                const onAbort = () => {
                    clearTimeout(timer);
                    reject(signal?.reason);
                };
                const timer = setTimeout(() => {
                    signal?.removeEventListener("abort", onAbort);
                    resolve();
                }, milliseconds);
                signal?.addEventListener("abort", onAbort, { once: true });
            }),
    };
}
