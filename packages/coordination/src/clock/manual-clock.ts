import type { Clock } from "./clock.js";

/** Clock for tests, whose time is advanced by the test. */
export type ManualClock = Clock & {
    /** Advances the time by milliseconds and wakes the sleepers that are due, in order of their due time. */
    advance(milliseconds: number): Promise<void>;
};

type Sleeper = { readonly dueAt: number; readonly wake: () => void };

/**
 * Creates a clock for tests that advances only when `advance` is called.
 *
 * @param startWallTime Wall-clock time at monotonic zero.
 * @returns A clock at monotonic zero.
 */
export function createManualClock(startWallTime = new Date(0)): ManualClock {
    let now = 0;
    let sleepers: Sleeper[] = [];

    const sleep = (milliseconds: number, signal?: AbortSignal) =>
        new Promise<void>((resolve, reject) => {
            if (signal?.aborted) {
                reject(signal.reason);
                return;
            }
            const onAbort = () => {
                sleepers = sleepers.filter(other => other !== sleeper);
                reject(signal?.reason);
            };
            const sleeper = {
                dueAt: now + milliseconds,
                wake: () => {
                    signal?.removeEventListener("abort", onAbort);
                    resolve();
                },
            };
            sleepers.push(sleeper);
            signal?.addEventListener("abort", onAbort, { once: true });
        });

    const advance = async (milliseconds: number) => {
        const end = now + milliseconds;
        for (;;) {
            const next = sleepers.filter(sleeper => sleeper.dueAt <= end).sort((a, b) => a.dueAt - b.dueAt)[0];
            if (next === undefined) {
                break;
            }
            sleepers = sleepers.filter(sleeper => sleeper !== next);
            now = Math.max(now, next.dueAt);
            next.wake();
            // Lets the woken task run, and sleep again, before later sleepers are considered.
            await new Promise(resolve => setImmediate(resolve));
        }
        now = end;
    };

    return {
        monotonicMilliseconds: () => now,
        wallTime: () => new Date(startWallTime.getTime() + now),
        sleep,
        advance,
    };
}
