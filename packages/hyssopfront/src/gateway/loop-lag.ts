/**
 * How far the process is behind with its work.
 */
import type { Clock } from "@hyssopfront/coordination";

/** Interval of the timer whose delay is measured, in milliseconds. */
const TICK_MS = 50;

export type LoopLag = {
    /** Milliseconds by which the timer is late now. */
    milliseconds(): number;
    /**
     * Lets the connections be read once more, so that a caller that has left meanwhile is noticed: what it sent before
     * is read in one turn of the event loop, the end of its connection in the next.
     */
    readConnections(): Promise<void>;
    close(): void;
};

const nextTurn = () => new Promise<void>(resolve => void setImmediate(resolve));

export function measureLoopLag(clock: Clock): LoopLag {
    let dueAt = clock.monotonicMilliseconds() + TICK_MS;
    const timer = setInterval(() => {
        dueAt = clock.monotonicMilliseconds() + TICK_MS;
    }, TICK_MS);
    timer.unref();
    return {
        milliseconds: () => Math.max(0, clock.monotonicMilliseconds() - dueAt),
        readConnections: async () => {
            await nextTurn();
            await nextTurn();
        },
        close: () => clearInterval(timer),
    };
}
