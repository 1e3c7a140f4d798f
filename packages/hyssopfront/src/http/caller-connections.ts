/**
 * Tracks the connections of callers, so that a stop can close exactly those without a request in progress.
 */
import type { Clock } from "@hyssopfront/coordination";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { readPendingData } from "./read-pending-data.js";
import { stopAccepting } from "./stop-accepting.js";

/**
 * Age at which a connection without a request counts as unused, in milliseconds; callers send a request as soon as they
 * have connected.
 */
const UNUSED_CONNECTION_TIMEOUT_MS = 200;
/**
 * Age of the last response at which its connection counts as unused, in milliseconds. A request that was sent before may
 * be read only now, and closing a connection with unread bytes resets it, which discards the end of the response.
 */
const IDLE_CONNECTION_TIMEOUT_MS = 50;

type ConnectionState = {
    openRequests: number;
    /** Time from which the connection counts as unused if no request is in progress, in monotonic milliseconds. */
    unusedFrom: number;
};

/** The connections of callers. */
export type CallerConnections = {
    /**
     * Records a request, which is in progress until its body has been read and its response has been sent, or its
     * connection is closed.
     */
    startRequest(message: IncomingMessage, response: ServerResponse): void;
    /** Number of requests that are in progress. */
    openRequests(): number;
    /** Whether more than one request is in progress on the connection, because its caller pipelines them. */
    isPipelining(connection: Socket): boolean;
    /**
     * Stops accepting connections once those that wait in the queue of the kernel are accepted.
     *
     * @param endsAt Time at which the queue is closed even if it never becomes empty, in monotonic milliseconds.
     */
    stopAccepting(endsAt: number): Promise<void>;
    /**
     * Reads what callers have sent, and closes the connections on which no request is in progress, except those on which
     * one may soon be read.
     */
    closeUnused(): Promise<void>;
    /** Number of open connections. */
    count(): number;
};

/** Tracks the connections of a server from now on. */
export function trackCallerConnections(server: Server, clock: Clock): CallerConnections {
    const connections = new Map<Socket, ConnectionState>();
    let openRequests = 0;
    server.on("connection", (connection: Socket) => {
        connections.set(connection, {
            openRequests: 0,
            unusedFrom: clock.monotonicMilliseconds() + UNUSED_CONNECTION_TIMEOUT_MS,
        });
        connection.once("close", () => connections.delete(connection));
    });
    return {
        startRequest: (message, response) => {
            const state = connections.get(message.socket);
            const count = (change: number) => {
                openRequests += change;
                if (state !== undefined) {
                    state.openRequests += change;
                    state.unusedFrom = clock.monotonicMilliseconds() + IDLE_CONNECTION_TIMEOUT_MS;
                }
            };
            count(1);
            response.once("close", () => {
                if (message.complete || message.destroyed) {
                    count(-1);
                }
                else {
                    message.once("close", () => count(-1));
                }
            });
        },
        openRequests: () => openRequests,
        isPipelining: connection => (connections.get(connection)?.openRequests ?? 0) > 1,
        stopAccepting: endsAt => stopAccepting(server, () => clock.monotonicMilliseconds() >= endsAt),
        closeUnused: async () => {
            // After a pause of the process, a request may have waited unread for as long as the pause lasted.
            await readPendingData();
            const now = clock.monotonicMilliseconds();
            connections.forEach((state, connection) => {
                if (state.openRequests === 0 && now >= state.unusedFrom) {
                    connection.destroy();
                }
            });
        },
        count: () => [...connections.keys()].filter(connection => !connection.destroyed).length,
    };
}
