/**
 * Sliding windows whose total is never less than the amounts of the last second.
 */
import { prolongForClockRate } from "@hyssopfront/coordination";

/** Time span over which rates are measured. */
export const WINDOW_MS = 1_000;
const BUCKETS = 100;

/**
 * Longest time that an amount stays in a window on the local clock: the window, extended because that clock may run
 * fast, plus the width of one bucket.
 */
export const LONGEST_WINDOW_MS = prolongForClockRate(WINDOW_MS) * (1 + 1 / BUCKETS);

export type SlidingWindow = {
    /** Adds an amount. The times of successive calls must not decrease. */
    add(now: number, amount: number): void;
    /** Returns the sum of all amounts that may be within the last second. */
    total(now: number): number;
};

/**
 * Creates an empty window. An amount expires when its whole bucket is older than the window, so the total is never less
 * than the amounts of the last second. Amounts may be counted for up to the width of one bucket too long.
 *
 * @param buckets Number of buckets. Fewer buckets use less memory, but count amounts for longer.
 * @returns The empty window.
 */
export function createSlidingWindow(buckets = BUCKETS): SlidingWindow {
    const bucketMilliseconds = prolongForClockRate(WINDOW_MS) / buckets;
    const size = buckets + 1;
    const amounts = new Float64Array(size);
    let current = 0;
    let sum = 0;

    const moveTo = (now: number) => {
        const bucket = Math.floor(now / bucketMilliseconds);
        if (bucket <= current) {
            return;
        }
        if (sum !== 0) {
            const cleared = Math.min(bucket - current, size);
            for (let step = 1; step <= cleared; step++) {
                amounts[(current + step) % size] = 0;
            }
            // Computed from the buckets again, so that rounding errors of fractional amounts do not accumulate.
            sum = amounts.reduce((total, amount) => total + amount, 0);
        }
        current = bucket;
    };

    return {
        add: (now, amount) => {
            moveTo(now);
            const index = current % size;
            amounts[index] = (amounts[index] ?? 0) + amount;
            sum += amount;
        },
        total: now => {
            moveTo(now);
            return sum;
        },
    };
}
