/**
 * What one process has used of one budget, and how much of it the process could use.
 */
import { type Budget, BudgetUnit } from "./admission.js";
import { createSlidingWindow, WINDOW_MS } from "./sliding-window.js";

/** Refusals only feed the estimate of demand, so their window may be coarse. */
const REFUSAL_BUCKETS = 10;
/** Room asked for above the measured rate, so that slow growth is not refused before the next renewal. */
const RATE_HEADROOM = 1.05;

export type BudgetUsage = {
    /** Changes when the configuration changes the limit. */
    budget: Budget;
    /** Amount of the last second, or the concurrent units held now. */
    used(now: number): number;
    acquire(now: number, amount: number): void;
    /** Gives concurrent units back; amounts of rates leave by time alone. */
    release(now: number, amount: number): void;
    /** Notes units that found no room, as demand. */
    recordRejected(now: number, amount: number): void;
    /** Replaces the units beyond those in use that requests wait for. */
    setQueuedDemand(now: number, amount: number): void;
    /** Adds to, or with a negative amount takes from, the units that wait for room. */
    adjustWaiting(amount: number): void;
    /** Units that the process could use now; falls to 0 within a second after the demand has ended. */
    estimateDemand(now: number): number;
};

/**
 * Creates an account without use.
 *
 * @param budget Budget that the account is for; its unit does not change.
 */
export function createBudgetUsage(budget: Budget): BudgetUsage {
    return budget.unit === BudgetUnit.Concurrent ? createConcurrentAccount(budget) : createRateAccount(budget);
}

function createRateAccount(budget: Budget): BudgetUsage {
    const window = createSlidingWindow();
    const refused = createSlidingWindow(REFUSAL_BUCKETS);
    let waiting = 0;
    let noted = 0;
    return {
        budget,
        used: window.total,
        acquire: window.add,
        release: () => undefined,
        recordRejected: refused.add,
        setQueuedDemand: (_now, amount) => noted = amount,
        adjustWaiting: amount => waiting += amount,
        estimateDemand: now => (window.total(now) + refused.total(now) + waiting + noted) * RATE_HEADROOM,
    };
}

function createConcurrentAccount(budget: Budget): BudgetUsage {
    const refused = createSlidingWindow(REFUSAL_BUCKETS);
    let inUse = 0;
    let waiting = 0;
    let noted = 0;
    let interval = 0;
    let peak = 0;
    let previousPeak = 0;

    /**
     * Keeps the highest use of this and the previous half second, with what was asked for, so that requests that waited
     * only between two renewals are asked for too.
     */
    const notePeak = (now: number, asked = 0) => {
        const current = Math.floor(now / (WINDOW_MS / 2));
        if (current !== interval) {
            previousPeak = current === interval + 1 ? peak : inUse;
            peak = inUse;
            interval = current;
        }
        peak = Math.max(peak, inUse + asked);
    };

    return {
        budget,
        used: () => inUse,
        acquire: (now, amount) => {
            notePeak(now);
            inUse += amount;
            notePeak(now);
        },
        release: (now, amount) => {
            notePeak(now);
            inUse -= amount;
        },
        recordRejected: refused.add,
        setQueuedDemand: (now, amount) => {
            noted = amount;
            notePeak(now, noted);
        },
        adjustWaiting: amount => waiting += amount,
        estimateDemand: now => {
            notePeak(now, noted);
            return Math.max(peak, previousPeak) + refused.total(now) + waiting;
        },
    };
}
