/**
 * Usage and estimated demand of one process for one budget.
 */
import { type Budget, BudgetUnit } from "./admission.js";
import { createSlidingWindow, WINDOW_MS } from "./sliding-window.js";

/** Rejections only affect the demand estimate, for which a coarse window suffices. */
const REJECTION_BUCKETS = 10;
/** Demand relative to the measured rate, so that slow growth is not rejected before the next session renewal. */
const RATE_HEADROOM = 1.05;

export type BudgetUsage = {
    /** Replaced when the configuration changes the limit. */
    budget: Budget;
    /** Returns the amount of the last second for a rate, or the units in use for a concurrency limit. */
    used(now: number): number;
    acquire(now: number, amount: number): void;
    /** Releases concurrent units. Does nothing for a rate, whose amounts leave the window with time. */
    release(now: number, amount: number): void;
    /** Adds units that were rejected for lack of capacity to the demand. */
    recordRejected(now: number, amount: number): void;
    /** Sets the number of units that queued requests need in addition to those in use. */
    setQueuedDemand(now: number, amount: number): void;
    /** Changes the number of units that wait for capacity by a positive or negative amount. */
    adjustWaiting(amount: number): void;
    /** Returns the units that the process could use now. Falls to 0 within a second after the demand has ended. */
    estimateDemand(now: number): number;
};

/**
 * Creates the usage of a budget, initially zero.
 *
 * @param budget Budget whose limit may change later. Its unit must stay the same.
 * @returns Usage of one process.
 */
export function createBudgetUsage(budget: Budget): BudgetUsage {
    return budget.unit === BudgetUnit.Concurrent ? createConcurrentUsage(budget) : createRateUsage(budget);
}

function createRateUsage(budget: Budget): BudgetUsage {
    const window = createSlidingWindow();
    const rejected = createSlidingWindow(REJECTION_BUCKETS);
    let waiting = 0;
    let queued = 0;
    return {
        budget,
        used: window.total,
        acquire: window.add,
        release: () => undefined,
        recordRejected: rejected.add,
        setQueuedDemand: (_now, amount) => queued = amount,
        adjustWaiting: amount => waiting += amount,
        estimateDemand: now => (window.total(now) + rejected.total(now) + waiting + queued) * RATE_HEADROOM,
    };
}

function createConcurrentUsage(budget: Budget): BudgetUsage {
    const rejected = createSlidingWindow(REJECTION_BUCKETS);
    let inUse = 0;
    let waiting = 0;
    let queued = 0;
    let currentInterval = 0;
    let peak = 0;
    let previousPeak = 0;

    /**
     * Tracks the peak of use and queued demand in the current and the previous half second, so that the demand includes
     * requests that waited only between two session renewals.
     */
    const updatePeak = (now: number, demandBeyondUse = 0) => {
        const interval = Math.floor(now / (WINDOW_MS / 2));
        if (interval !== currentInterval) {
            previousPeak = interval === currentInterval + 1 ? peak : inUse;
            peak = inUse;
            currentInterval = interval;
        }
        peak = Math.max(peak, inUse + demandBeyondUse);
    };

    return {
        budget,
        used: () => inUse,
        acquire: (now, amount) => {
            updatePeak(now);
            inUse += amount;
            updatePeak(now);
        },
        release: (now, amount) => {
            updatePeak(now);
            inUse -= amount;
        },
        recordRejected: rejected.add,
        setQueuedDemand: (now, amount) => {
            queued = amount;
            updatePeak(now, queued);
        },
        adjustWaiting: amount => waiting += amount,
        estimateDemand: now => {
            updatePeak(now, queued);
            return Math.max(peak, previousPeak) + rejected.total(now) + waiting;
        },
    };
}
