/**
 * How long new connections wait to be accepted, and the end of those that have waited too long.
 *
 * Node accepts one connection in each turn of the event loop. Under load, connections queue in the kernel for seconds
 * although no turn takes long. Callers give up meanwhile, and an entry that serves the queue in its order would work
 * for callers that have left only.
 */
import type { Clock, Counters } from "@hyssopfront/coordination";
import { connect, type DropArgument, type Server, type Socket } from "node:net";
import { EventLevel, type EventLog } from "../event-log/event-log.js";

/** The wait is measured once no turn has found the queue empty for this long, in milliseconds. */
const MEASURED_AFTER_MS = 50;
/**
 * Connections that wait longer are closed unread, in milliseconds. Callers abandon a request that is not read within a
 * third of their time, which is a second for the most urgent ones; what is left must do for another entry.
 */
const LONGEST_WAIT_MS = 200;

/** Limit of open connections that closes each new one; Node 20 takes 0 for no limit. */
const NO_CONNECTIONS = -1;

export type AcceptQueue = {
    /**
     * Longest time for which the connection may have waited, in milliseconds. Only its first request came while it
     * waited: 0 when it is asked again.
     */
    takeWaitMilliseconds(connection: Socket): number;
};

type Measurement = { readonly connection: Socket; readonly startedAt: number };

/** Watches the connections that a listening server accepts. */
export function watchAcceptQueue(server: Server, options: {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly log: EventLog;
    /** Where the server listens. */
    readonly address: string;
    readonly port: number;
}): AcceptQueue {
    const { clock, counters, log, address, port } = options;
    const waits = new WeakMap<Socket, number>();
    /** Since when no turn of the event loop has found the queue empty. */
    let busySince: number | undefined;
    let hasAccepted = false;
    /** A connection of the entry's own, which waits like those of callers. */
    let measurement: Measurement | undefined;
    let dropped = 0;

    const endMeasurement = () => {
        measurement?.connection.destroy();
        measurement = undefined;
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
            endMeasurement();
        }
    };
    const measure = (startedAt: number) => {
        const connection = connect(port, address);
        connection.on("error", error => log(EventLevel.Info, "wait not measured", { reason: error.message }));
        measurement = { connection, startedAt };
    };
    /** @returns True when the connection is the entry's own. */
    const noteAccept = (remoteAddress: string | undefined, remotePort: number | undefined) => {
        const now = clock.monotonicMilliseconds();
        hasAccepted = true;
        if (busySince === undefined) {
            busySince = now;
            setImmediate(endTurn);
        }
        if (measurement === undefined) {
            if (now - busySince > MEASURED_AFTER_MS) {
                measure(now);
            }
            return false;
        }
        if (remoteAddress === address && remotePort === measurement.connection.localPort) {
            endMeasurement();
            return true;
        }
        const waitMilliseconds = now - measurement.startedAt;
        if (waitMilliseconds > LONGEST_WAIT_MS && server.maxConnections === Infinity) {
            // The connections ahead of the entry's own have waited as long; they are closed as they are accepted.
            server.maxConnections = NO_CONNECTIONS;
            log(EventLevel.Warning, "connections are closed unread", {
                waitMilliseconds: Math.round(waitMilliseconds),
            });
        }
        return false;
    };

    server.maxConnections = Infinity;
    server.on("connection", (connection: Socket) => {
        if (noteAccept(connection.remoteAddress, connection.remotePort)) {
            connection.destroy();
        }
        waits.set(connection, clock.monotonicMilliseconds() - (busySince ?? Infinity));
    });
    server.on("drop", (connection?: DropArgument) => {
        if (!noteAccept(connection?.remoteAddress, connection?.remotePort)) {
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
