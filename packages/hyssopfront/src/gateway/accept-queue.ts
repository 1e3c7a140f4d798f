/**
 * Measures how long new connections wait in the accept queue of the kernel, and closes those that have waited too long.
 *
 * Node accepts one connection in each turn of the event loop, so that under load connections queue for seconds although
 * no turn takes long. Callers give up meanwhile, and an entry that serves the queue in order would work only for
 * callers that have disconnected.
 */
import type { Clock, Counters } from "@hyssopfront/coordination";
import { connect, type DropArgument, type Server, type Socket } from "node:net";
import { EventLevel, type EventLog } from "../event-log/event-log.js";

/** Time that the queue must have been non-empty before a probe measures the wait, in milliseconds. */
const PROBE_AFTER_MS = 50;
/**
 * Wait after which connections are closed unread, in milliseconds. Callers abandon a request that is not read within a
 * third of their timeout, and the timeout of the most urgent ones is one second. The time that remains after the wait
 * must suffice for another entry.
 */
const MAXIMUM_WAIT_MS = 200;

/** Value of `maxConnections` that rejects each new connection; Node 20 treats 0 as no limit. */
const REJECT_ALL_CONNECTIONS = -1;

/** Waiting times of accepted connections. */
export type AcceptQueue = {
    /**
     * Upper bound of the time for which the connection waited to be accepted, in milliseconds. Only the first request
     * of a connection can have arrived during the wait, so further calls return 0.
     */
    takeWaitMilliseconds(connection: Socket): number;
};

type Probe = { readonly connection: Socket; readonly startedAt: number };

/** Monitors the connections of a server and limits their wait. */
export function watchAcceptQueue(server: Server, options: {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly log: EventLog;
    /** Address at which the server listens. */
    readonly address: string;
    readonly port: number;
}): AcceptQueue {
    const { clock, counters, log, address, port } = options;
    const waits = new WeakMap<Socket, number>();
    /** Time since which every turn of the event loop has accepted a connection, in monotonic milliseconds. */
    let busySince: number | undefined;
    let hasAccepted = false;
    /** A connection of the entry to itself, which waits in the queue like those of callers. */
    let probe: Probe | undefined;
    let dropped = 0;

    const endProbe = () => {
        probe?.connection.destroy();
        probe = undefined;
        if (server.maxConnections !== Infinity) {
            server.maxConnections = Infinity;
            log(EventLevel.Warning, "connections are accepted again", { dropped });
            dropped = 0;
        }
    };
    const endTurn = () => {
        if (hasAccepted) {
            hasAccepted = false;
            setImmediate(endTurn);
        }
        else {
            busySince = undefined;
            endProbe();
        }
    };
    const startProbe = (startedAt: number) => {
        const connection = connect(port, address);
        connection.on(
            "error",
            error => log(EventLevel.Info, "accept queue not probed", { reason: error.message }),
        );
        probe = { connection, startedAt };
    };
    /** @returns True if the connection is the probe. */
    const recordAccept = (remoteAddress: string | undefined, remotePort: number | undefined) => {
        const now = clock.monotonicMilliseconds();
        hasAccepted = true;
        if (busySince === undefined) {
            busySince = now;
            setImmediate(endTurn);
        }
        if (probe === undefined) {
            if (now - busySince > PROBE_AFTER_MS) {
                startProbe(now);
            }
            return false;
        }
        if (remoteAddress === address && remotePort === probe.connection.localPort) {
            endProbe();
            return true;
        }
        const waitMilliseconds = now - probe.startedAt;
        if (waitMilliseconds > MAXIMUM_WAIT_MS && server.maxConnections === Infinity) {
            // The connections ahead of the probe have waited at least as long and are closed as they are accepted.
            server.maxConnections = REJECT_ALL_CONNECTIONS;
            log(EventLevel.Warning, "connections are closed unread", {
                waitMilliseconds: Math.round(waitMilliseconds),
            });
        }
        return false;
    };

    server.maxConnections = Infinity;
    server.on("connection", (connection: Socket) => {
        if (recordAccept(connection.remoteAddress, connection.remotePort)) {
            connection.destroy();
        }
        waits.set(connection, clock.monotonicMilliseconds() - (busySince ?? Infinity));
    });
    server.on("drop", (connection?: DropArgument) => {
        if (!recordAccept(connection?.remoteAddress, connection?.remotePort)) {
            dropped += 1;
            counters.increment("gateway.connections_dropped");
        }
    });
    return {
        takeWaitMilliseconds: connection => {
            const wait = waits.get(connection) ?? 0;
            waits.delete(connection);
            return wait;
        },
    };
}
