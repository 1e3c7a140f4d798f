/**
 * Sliding-window count of the requests that this entry has sent to one backend server in slow start.
 */
import type { Clock } from "@hyssopfront/coordination";

/** Window of the configured request rate for a backend server in slow start, in milliseconds. */
const WINDOW_MS = 1_000;

/** Counter of the requests in the last second. */
export type RequestCounter = {
    /** Returns the number of requests sent in the last second. */
    count(): number;
    /** Counts a request that is sent now. */
    increment(): void;
};

/** Creates a counter without requests. */
export function createRequestCounter(clock: Clock): RequestCounter {
    let sentAt: readonly number[] = [];
    const removeExpired = () => {
        const oldest = clock.monotonicMilliseconds() - WINDOW_MS;
        sentAt = sentAt.filter(time => time > oldest);
        return sentAt;
    };
    return {
        count: () => removeExpired().length,
        increment: () => {
            sentAt = [...removeExpired(), clock.monotonicMilliseconds()];
        },
    };
}
