/**
 * Counts and logs the clients that a server refuses because of its limits.
 */
import type { Clock, Counters } from "@hyssopfront/coordination";
import { EventLevel, type EventLog } from "../event-log/event-log.js";

/** Shortest interval between two lines of the log about one server, in milliseconds; a crowd is refused at once. */
const LOG_INTERVAL_MS = 10_000;

/** Why a client was refused or its connection was closed; a label of metrics and a field of the log. */
export enum RefusalReason {
    /** Its body makes no progress, and others need its memory or connection. */
    Stalled = "stalled",
    /** Its body is slower than the minimum rate. */
    TooSlow = "too-slow",
    /** There is no memory for its body. */
    NoMemory = "no-memory",
    /** The process has too many connections. */
    TooManyConnections = "too-many-connections",
}

/** What reporting refusals needs from its server. */
export type RefusalOptions = {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly log: EventLog;
    /** What the server listens for, such as "callers". */
    readonly listener: string;
};

/** Creates a function that counts a refusal, and logs the first one and then the number of those since the last line. */
export function createRefusalReport(
    { clock, counters, log, listener }: RefusalOptions,
): (reason: RefusalReason) => void {
    let loggedAt = -Infinity;
    let refusals = 0;
    return reason => {
        counters.increment("listen.refused_clients", 1, { listener, reason });
        refusals += 1;
        const now = clock.monotonicMilliseconds();
        if (now - loggedAt >= LOG_INTERVAL_MS) {
            log(EventLevel.Warning, "clients refused", { listener, reason, refusals });
            loggedAt = now;
            refusals = 0;
        }
    };
}
