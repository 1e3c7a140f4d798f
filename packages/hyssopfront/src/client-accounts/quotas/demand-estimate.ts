/**
 * Estimate of the requests of one client account at an entry.
 */
import { DEMAND_WINDOW_MS } from "./quota-messages.js";

/** Counts in two adjacent windows, of which the earlier one fades out while the later one grows. */
export type DemandEstimate = {
    /** Counts a request at a monotonic time in milliseconds. */
    increment(now: number): void;
    /** Returns the expected requests of the next `DEMAND_WINDOW_MS`; 0 after two windows without any. */
    expected(now: number): number;
    /** Whether there were also requests in the earlier window, so that more are likely to follow. */
    isSustained(now: number): boolean;
};

/** Creates an estimate of no requests. */
export function createDemandEstimate(): DemandEstimate {
    let startedAt = -Infinity;
    let current = 0;
    let previous = 0;
    const advance = (now: number) => {
        if (now < startedAt + DEMAND_WINDOW_MS) {
            return;
        }
        const isAdjacent = now < startedAt + 2 * DEMAND_WINDOW_MS;
        previous = isAdjacent ? current : 0;
        current = 0;
        startedAt = isAdjacent ? startedAt + DEMAND_WINDOW_MS : now;
    };
    return {
        increment: now => {
            advance(now);
            current += 1;
        },
        expected: now => {
            advance(now);
            return current + previous * (1 - (now - startedAt) / DEMAND_WINDOW_MS);
        },
        isSustained: now => {
            advance(now);
            return previous > 0;
        },
    };
}
