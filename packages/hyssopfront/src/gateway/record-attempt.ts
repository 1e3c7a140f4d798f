/**
 * Records what the attempts of requests tell about their backend servers.
 */
import type { Clock, Counters } from "@hyssopfront/coordination";
import { EventLevel, type EventLog } from "../event-log/event-log.js";
import type { BackendServer, BackendServers } from "./backend-servers.js";
import { DispatchOutcome, type DispatchResult } from "./dispatch/dispatch.js";
import type { GatewayRequest } from "./gateway-request.js";

/** What recording attempts needs from its entry. */
export type RecordDependencies = {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly log: EventLog;
    readonly servers: BackendServers;
};

/** True for the statuses of responses that count as failures of the backend server. */
export const isServerFailure = (status: number) => status >= 500;

/** Records the result of an attempt in the health of its backend server. */
export function recordHealth(dependencies: RecordDependencies, server: BackendServer, result: DispatchResult): void {
    const { log } = dependencies;
    const { id } = server.record;
    switch (result.outcome) {
        case DispatchOutcome.NotSent:
            server.health.eject();
            log(EventLevel.Warning, "backend server unreachable", { server: id, reason: result.message });
            break;
        case DispatchOutcome.Replaced:
            dependencies.servers.stopUsing(server);
            log(EventLevel.Warning, "backend server replaced", { server: id });
            break;
        case DispatchOutcome.Failed:
        case DispatchOutcome.Truncated:
            if (server.health.recordFailure()) {
                log(EventLevel.Warning, "backend server ejected", { server: id, reason: result.message });
            }
            break;
        case DispatchOutcome.Completed:
            if (result.head !== undefined && isServerFailure(result.head.status) && server.health.recordFailure()) {
                log(EventLevel.Warning, "backend server ejected", { server: id, status: result.head.status });
            }
            break;
        default:
            break;
    }
}

/**
 * Counts and logs a request if its backend server is in slow start. They are logged one by one, up to the limit on lines
 * about requests, because their rate is limited for all entries together.
 */
export function recordColdRequest(
    { clock, counters, log }: RecordDependencies,
    server: BackendServer,
    request: GatewayRequest,
): void {
    const coldMilliseconds = server.coldUntil - clock.monotonicMilliseconds();
    if (coldMilliseconds <= 0) {
        return;
    }
    const { id, service, startedAt, sequence } = server.record;
    server.coldRequests.increment();
    counters.increment("gateway.cold_requests", 1, { service });
    log(EventLevel.Info, "cold backend server used", {
        request: request.id,
        service,
        server: id,
        startedAt,
        sequence,
        coldMilliseconds: Math.round(coldMilliseconds),
        sentInWindow: server.coldRequests.count(),
    });
}
