/**
 * Clock interface, so that leases and timeouts can be tested without waiting.
 */

/**
 * Largest assumed drift between two monotonic clocks: their difference in rate, as a fraction. The grantor of a lease
 * extends its own view of the lease to allow for this drift, and never shortens it.
 */
export const CLOCK_RATE_ERROR = 0.001;

/** Clock of one process. */
export type Clock = {
    /** Monotonic time in milliseconds. Never goes back, and is comparable only within one process. */
    monotonicMilliseconds(): number;
    /** Wall-clock time, only for display and for the age of stored data, never for leases. */
    wallTime(): Date;
    /**
     * Waits for a duration.
     *
     * @param milliseconds Duration in milliseconds.
     * @param signal Cancels the wait.
     * @returns Resolves after the duration; rejects with the abort reason when the signal aborts.
     */
    sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
};

/**
 * Extends a duration to account for clock drift between this instance and another.
 *
 * @param milliseconds Duration as measured by the clock of the other instance.
 * @returns Milliseconds on the clock of this instance after which the duration has certainly passed on the other clock.
 */
export function prolongForClockRate(milliseconds: number): number {
    return milliseconds * (1 + 2 * CLOCK_RATE_ERROR);
}
