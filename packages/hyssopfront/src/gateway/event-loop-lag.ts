/**
 * Measures the lag of the event loop.
 */
import type { Clock } from "@hyssopfront/coordination";

/** Interval of the timer whose delay is measured, in milliseconds. */
const TICK_MS = 50;

/** Lag of the event loop of this process. */
export type EventLoopLag = {
    /**
     * Returns the longest time for which a request that is read now may have waited, in milliseconds. This is the
     * greater of the timer's current lateness and that of its last run, because timers run before connections are read.
     */
    milliseconds(): number;
    close(): void;
};

/** Starts to measure; the timer does not keep the process running. */
export function measureEventLoopLag(clock: Clock): EventLoopLag {
    let dueAt = clock.monotonicMilliseconds() + TICK_MS;
    let lastDelay = 0;
    const timer = setInterval(() => {
        const now = clock.monotonicMilliseconds();
        lastDelay = now - dueAt;
        dueAt = now + TICK_MS;
    }, TICK_MS);
    timer.unref();
    return {
        milliseconds: () => Math.max(0, lastDelay, clock.monotonicMilliseconds() - dueAt),
        close: () => clearInterval(timer),
    };
}
