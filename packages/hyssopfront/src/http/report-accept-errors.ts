/**
 * Keeps a process running when a server cannot accept a connection.
 */
import type { Clock, Counters } from "@hyssopfront/coordination";
import type { Server } from "node:net";
import { errorFields, EventLevel, type EventLog } from "../event-log/event-log.js";

/** Shortest interval between two lines of the log about one server, in milliseconds. The failure may recur at once. */
const LOG_INTERVAL_MS = 10_000;

/**
 * Counts and logs the failures to accept connections, for instance because no descriptor is left. Node emits them as
 * event `error` of the server, which would end the process if nothing listened to it. The server keeps listening, and
 * accepts the connection once it can.
 *
 * @param server Server that listens already, as a failure to listen is the same event.
 * @param options.listener What the server listens for, such as "callers".
 */
export function reportAcceptErrors(server: Server, { clock, counters, log, listener }: {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly log: EventLog;
    readonly listener: string;
}): void {
    let loggedAt = -Infinity;
    let failures = 0;
    server.on("error", (error: NodeJS.ErrnoException) => {
        counters.increment("listen.accept_failures", 1, { listener });
        failures += 1;
        const now = clock.monotonicMilliseconds();
        if (now - loggedAt >= LOG_INTERVAL_MS) {
            log(EventLevel.Warning, "accepting a connection failed", {
                listener,
                failures,
                code: error.code,
                ...errorFields(error),
            });
            loggedAt = now;
            failures = 0;
        }
    });
}
