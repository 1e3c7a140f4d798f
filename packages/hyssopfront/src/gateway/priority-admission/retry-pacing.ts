/**
 * Times after which rejected callers should retry, spaced by the rate at which the service completes requests.
 */
import type { Clock } from "@hyssopfront/coordination";

/** Share of the time that a caller has left up to which it waits before it retries. */
const HONORED_SHARE = 1 / 3;
/**
 * Longest time after which a caller should retry, in milliseconds. The rate of completions changes within about a
 * second while caches fill, so a prediction beyond it would keep callers away from free capacity.
 */
const MAXIMUM_RETRY_AFTER_MS = 1_000;
/** Shortest time, in milliseconds: a request that is rejected now meets the same load a few milliseconds later. */
const MINIMUM_RETRY_AFTER_MS = 50;
/** Relative jitter, so that callers that were rejected together don't come back together. */
const JITTER_SHARE = 0.2;

/** Retry times of the rejected callers of one service. */
export type RetryPacing = {
    /**
     * Assigns a retry time after the requests that wait and after the callers that were rejected before.
     *
     * @param waiting Number of requests that wait for capacity.
     * @param completionRate Requests per millisecond.
     * @param remainingMilliseconds Time that the caller has left.
     * @returns Time until the retry, in milliseconds.
     */
    assign(waiting: number, completionRate: number, remainingMilliseconds: number): number;
};

/**
 * Creates the pacing of one service.
 *
 * @param random Uniform numbers from 0 to 1.
 */
export function createRetryPacing(clock: Clock, random: () => number): RetryPacing {
    let lastAssignedAt = 0;
    return {
        assign: (waiting, completionRate, remainingMilliseconds) => {
            const now = clock.monotonicMilliseconds();
            const interval = Math.min(MAXIMUM_RETRY_AFTER_MS, 1 / completionRate);
            const earliest = Math.max(lastAssignedAt, now + waiting * interval);
            lastAssignedAt = Math.min(now + MAXIMUM_RETRY_AFTER_MS, earliest + interval);
            const expected = Math.max(MINIMUM_RETRY_AFTER_MS, lastAssignedAt - now);
            return Math.min(
                expected * (1 + JITTER_SHARE * random()),
                Math.max(0, remainingMilliseconds) * HONORED_SHARE,
            );
        },
    };
}
