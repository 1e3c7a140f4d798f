/**
 * Stops an HTTP server without cutting off responses.
 */
import type { Clock } from "@hyssopfront/coordination";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { trackCallerConnections } from "./caller-connections.js";

/** Interval at which a stopping server closes the connections that have become unused, in milliseconds. */
const POLL_INTERVAL_MS = 10;
/**
 * Longest time for which connections that wait in the queue are accepted, in milliseconds. Each turn of the event loop
 * accepts one, and Node's queue has 511, so turns of up to 1.9 ms suffice for all that wait at the stop.
 */
const ACCEPTING_TIMEOUT_MS = 1_000;

/**
 * Stops a server: it accepts no connections, and each connection is closed once no request is in progress on it.
 *
 * @param timeoutMilliseconds Time after which the connections that are still open are closed; by default there is none.
 * @returns A promise that resolves when no connection is open.
 */
export type StopServer = (timeoutMilliseconds?: number) => Promise<void>;

/**
 * Tracks the connections of a server and its requests in progress from now on.
 *
 * @param server Server that already has its listeners for requests.
 * @returns The function that stops the server. Node's own `close` and `closeIdleConnections` would also destroy
 *     connections whose last response has not been sent completely, because Node counts them as idle.
 */
export function prepareServerStop(server: Server, clock: Clock): StopServer {
    const connections = trackCallerConnections(server, clock);
    const startRequest = (request: IncomingMessage, response: ServerResponse) =>
        connections.startRequest(request, response);
    server.prependListener("request", startRequest);
    if (server.listenerCount("checkExpectation") > 0) {
        server.prependListener("checkExpectation", startRequest);
    }
    return async (timeoutMilliseconds = Infinity) => {
        const startedAt = clock.monotonicMilliseconds();
        const closesAt = startedAt + timeoutMilliseconds;
        await connections.stopAccepting(Math.min(closesAt, startedAt + ACCEPTING_TIMEOUT_MS));
        await connections.closeUnused();
        while (connections.count() > 0 && clock.monotonicMilliseconds() < closesAt) {
            await clock.sleep(POLL_INTERVAL_MS);
            await connections.closeUnused();
        }
        server.closeAllConnections();
    };
}
