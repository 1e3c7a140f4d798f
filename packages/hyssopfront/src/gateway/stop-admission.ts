/**
 * Decides which requests an entry forwards while it stops.
 */

/**
 * Time from the start of a stop in which requests are forwarded although they may last longer than the stop, in
 * milliseconds. Callers that have not yet learned of the stop send most of their requests in it.
 */
const EXPECTED_REQUESTS_MS = 2_500;
/** Time that such a request needs before the end of the stop, as a multiple of the latency objective of its route. */
const EXPECTED_DURATION_RATIO = 4;

/** Times of a stop, in monotonic milliseconds. */
export type EntryStop = {
    readonly startedAt: number;
    /** The connections of requests that are still in flight are closed at this time. */
    readonly servesUntil: number;
};

/**
 * Returns true if a stopping entry can wait for the response to a request: if the request ends by its deadline before
 * the stop does, or is expected to. A request that is cut off may have run, whereas one that is rejected can be sent to
 * another entry at once.
 *
 * @param request.endsAt Deadline of the request, in monotonic milliseconds.
 * @param request.latencyObjectiveMilliseconds Latency objective of the route.
 */
export function canWaitForRequest(stop: EntryStop, request: {
    readonly now: number;
    readonly endsAt: number;
    readonly latencyObjectiveMilliseconds: number;
}): boolean {
    const { now, endsAt, latencyObjectiveMilliseconds } = request;
    const isExpectedToEnd = now - stop.startedAt <= EXPECTED_REQUESTS_MS
        && stop.servesUntil - now >= latencyObjectiveMilliseconds * EXPECTED_DURATION_RATIO;
    return endsAt <= stop.servesUntil || isExpectedToEnd;
}
