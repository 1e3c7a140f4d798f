/**
 * Requests that this entry has sent to one cold backend server of late.
 */
import type { Clock } from "@hyssopfront/coordination";

/** Window that the operators' bound on requests to a cold backend server refers to, in milliseconds. */
const WINDOW_MS = 1_000;

export type RequestCounter = {
    /** Requests that were sent in the last second. */
    count(): number;
    /** Notes that a request is sent now. */
    increment(): void;
};

/** Creates an empty window. */
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
