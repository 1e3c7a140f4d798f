/**
 * Tracks the connections of callers, so that a stop can close those without a request in progress.
 */
import type { Clock } from "@hyssopfront/coordination";
import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * Age at which a connection without a request counts as unused, in milliseconds; callers send a request as soon as they
 * have connected.
 */
const UNUSED_CONNECTION_TIMEOUT_MS = 200;

/** The connections of callers. */
export type CallerConnections = {
    /** Records a request, which is in progress until its response has been sent or its connection is closed. */
    startRequest(response: ServerResponse): void;
    /** Number of requests that are in progress. */
    openRequests(): number;
    /** Closes the connections on which no request is in progress, except those that may soon send their first one. */
    closeUnused(): void;
    /** Number of open connections. */
    count(): number;
};

/** Tracks the connections of a server from now on. */
export function trackCallerConnections(server: Server, clock: Clock): CallerConnections {
    const connections = new Set<Socket>();
    /** Connections that have not sent a request yet, with the monotonic milliseconds at which they were accepted. */
    const newConnections = new Map<Socket, number>();
    let openRequests = 0;
    server.on("connection", (connection: Socket) => {
        connections.add(connection);
        newConnections.set(connection, clock.monotonicMilliseconds());
        connection.once("close", () => {
            connections.delete(connection);
            newConnections.delete(connection);
        });
    });
    return {
        startRequest: response => {
            openRequests += 1;
            if (response.socket) {
                newConnections.delete(response.socket);
            }
            response.once("close", () => {
                openRequests -= 1;
            });
        },
        openRequests: () => openRequests,
        closeUnused: () => {
            server.closeIdleConnections();
            const acceptedBefore = clock.monotonicMilliseconds() - UNUSED_CONNECTION_TIMEOUT_MS;
            [...newConnections].filter(([, acceptedAt]) => acceptedAt < acceptedBefore).forEach(([connection]) =>
                connection.destroy()
            );
        },
        count: () => [...connections].filter(connection => !connection.destroyed).length,
    };
}
