/**
 * Probes of backend servers whose circuit breaker is open.
 */
import type { Clock, Counters } from "@hyssopfront/coordination";
import type { AnnouncedBackendServer } from "../announcements/announcement.js";
import { createBackendConnectionPool } from "./backend-connection-pool.js";
import type { BackendState } from "./backend-state.js";
import type { Timers } from "./timers.js";

export const PROBE_TIMEOUT_MS = 1_000;

/**
 * Starts a probe of a backend server if its circuit breaker is open and a probe is due. The probe is an `OPTIONS`
 * request on a new connection, which asks for no work (RFC 9110, section 9.3.7). Any complete response within one
 * second closes the circuit.
 */
export function startProbeIfDue(
    clock: Clock,
    timers: Timers,
    counters: Counters,
    backendServer: AnnouncedBackendServer,
    state: BackendState,
): void {
    if (!state.circuitBreaker.tryBeginProbe()) {
        return;
    }
    counters.increment("routing.probes", 1, { service: backendServer.service });
    const connectionPool = createBackendConnectionPool({
        ...backendServer,
        clock,
        connectTimeoutMilliseconds: PROBE_TIMEOUT_MS,
    });
    const connection = connectionPool.acquire(1);
    if (connection === undefined) {
        state.circuitBreaker.endProbe(false);
        return;
    }
    const end = (hasSucceeded: boolean) => {
        stopTimer();
        connectionPool.discard(connection);
        state.circuitBreaker.endProbe(hasSucceeded);
    };
    const stopTimer = timers.start(clock.monotonicMilliseconds() + PROBE_TIMEOUT_MS, () => end(false));
    connection.client.dispatch({ method: "OPTIONS", path: "/", headers: [] }, {
        onRequestStart: () => undefined,
        onResponseStart: () => undefined,
        onResponseData: () => undefined,
        onResponseEnd: () => end(true),
        onResponseError: () => end(false),
    });
}
