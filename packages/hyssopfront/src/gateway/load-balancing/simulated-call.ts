/**
 * Calls of simulated callers, and how they end.
 */

/** One call: a request and at most one retry of it. */
export type SimulatedCall = {
    readonly key: string;
    /** 0 is the highest priority. */
    readonly priority: number;
    readonly account: string | undefined;
    /** Processing time if the object is not cached, in milliseconds. */
    readonly firstRunMilliseconds: number;
    readonly laterRunMilliseconds: number;
    readonly objectiveMilliseconds: number;
    /** Time after which an entry gives up the request, in milliseconds. */
    readonly timeoutMilliseconds: number;
    /** Time after which the caller gives up, in milliseconds. */
    readonly deadlineMilliseconds: number;
};

/** Outcomes as in the metrics of an entry. */
export type SimulatedOutcome = "answered" | "refused" | "failed";

/** End of a call as its caller sees it. */
export type SimulatedEnd = {
    readonly call: SimulatedCall;
    readonly outcome: SimulatedOutcome;
    /** Time of the first request, in milliseconds. */
    readonly startedAt: number;
    /** Time from the first request to the end, in milliseconds. */
    readonly milliseconds: number;
    /** Number of requests of the call that were rejected. */
    readonly rejections: number;
};
