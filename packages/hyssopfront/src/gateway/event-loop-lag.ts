/**
 * How far the process is behind with its work.
 */
import type { Clock } from "@hyssopfront/coordination";

/** Interval of the timer whose delay is measured, in milliseconds. */
const TICK_MS = 50;

export type EventLoopLag = {
    /**
     * Milliseconds for which a request that is read now may have waited: by which the timer is late, or was when it
     * last ran, as timers run before connections are read.
     */
    milliseconds(): number;
    /**
     * Lets the connections be read once more, so that a caller that has left meanwhile is noticed: what it sent before
     * is read in one turn of the event loop, the end of its connection in the next.
     */
    readPendingData(): Promise<void>;
    close(): void;
};

const nextTurn = () => new Promise<void>(resolve => void setImmediate(resolve));

export function measureEventLoopLag(clock: Clock): EventLoopLag {
    let dueAt = clock.monotonicMilliseconds() + TICK_MS;
    let lastLateness = 0;
    const timer = setInterval(() => {
        const now = clock.monotonicMilliseconds();
        lastLateness = now - dueAt;
        dueAt = now + TICK_MS;
    }, TICK_MS);
    timer.unref();
    return {
        milliseconds: () => Math.max(0, lastLateness, clock.monotonicMilliseconds() - dueAt),
        readPendingData: async () => {
            await nextTurn();
            await nextTurn();
        },
        close: () => clearInterval(timer),
    };
}
