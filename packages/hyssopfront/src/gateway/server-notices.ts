/**
 * Notices that a backend server adds to its responses: that it is leaving, or that it wants no requests for some time.
 */
import type { Counters } from "@hyssopfront/coordination";
import { EventLevel, type EventLog } from "../event-log/event-log.js";
import type { ResponseHead } from "../routing/attempt.js";
import type { BackendServer, BackendServers } from "./backend-servers.js";
import type { HeaderNames } from "./header-names.js";

/** Longest pause that a backend server can ask for, in milliseconds; a longer one is shortened to this. */
export const MAXIMUM_PAUSE_MS = 300_000;

const LEAVING_VALUE = "1";
const SERVICE_UNAVAILABLE = 503;

/** What applying notices needs from its entry. */
export type NoticeDependencies = {
    readonly log: EventLog;
    readonly counters: Counters;
    readonly servers: BackendServers;
    readonly headerNames: HeaderNames;
};

/**
 * Parses the pause that a backend server asks for.
 *
 * @param text Value of the header: seconds, also fractional.
 * @returns Milliseconds, at most `MAXIMUM_PAUSE_MS`, or undefined if the value is not a positive number of seconds. Dates
 * are not accepted, because the clocks of instances differ.
 */
export function parsePauseMilliseconds(text: string): number | undefined {
    if (!/^\s*\d+(\.\d+)?\s*$/.test(text)) {
        return undefined;
    }
    const milliseconds = Number(text) * 1_000;
    return milliseconds > 0 ? Math.min(MAXIMUM_PAUSE_MS, milliseconds) : undefined;
}

/** Applies the notices in a response of a backend server, before any further request is sent to it. */
export function applyServerNotices(
    { log, counters, servers, headerNames }: NoticeDependencies,
    server: BackendServer,
    { status, headers }: ResponseHead,
): void {
    const { id, service, startedAt } = server.record;
    if (headers[headerNames.leaving] === LEAVING_VALUE && servers.stopUsing(server)) {
        counters.increment("gateway.leaving_servers", 1, { service });
        log(EventLevel.Info, "backend server leaving", { server: id, startedAt, service });
    }
    const retryAfter = headers[headerNames.retryAfter];
    if (status !== SERVICE_UNAVAILABLE || retryAfter === undefined) {
        return;
    }
    const pauseMilliseconds = parsePauseMilliseconds(String(retryAfter));
    if (pauseMilliseconds === undefined) {
        log(EventLevel.Warning, "pause of backend server ignored", {
            server: id,
            value: String(retryAfter).slice(0, 64),
        });
        return;
    }
    counters.increment("gateway.server_pauses", 1, { service });
    log(EventLevel.Info, "backend server paused", { server: id, startedAt, service, pauseMilliseconds });
    server.health.pause(pauseMilliseconds);
}
