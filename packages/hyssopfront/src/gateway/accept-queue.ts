/**
 * Measures how long new connections wait in the accept queue of the kernel, and marks those that have waited too long.
 *
 * Node accepts one connection in each turn of the event loop, so that under load connections queue for seconds although
 * no turn takes long. Callers give up meanwhile, and an entry that serves the queue in order would work only for
 * callers that have disconnected. Connections that have waited too long are not closed unread: their callers have sent
 * whole requests, and could not know that these have not run.
 */
import type { Clock, Counters } from "@hyssopfront/coordination";
import { connect, type Server, type Socket } from "node:net";
import { EventLevel, type EventLog } from "../event-log/event-log.js";

/** Time that the queue must have been non-empty before a probe measures the wait, in milliseconds. */
const PROBE_AFTER_MS = 50;
/**
 * Wait after which the first request of a connection is rejected, in milliseconds. Callers abandon a request that is not
 * read within a third of their timeout, and the timeout of the most urgent ones is one second. The time that remains after
 * the wait must suffice for another entry.
 */
const MAXIMUM_WAIT_MS = 200;
/**
 * Time since a connection was accepted after which a request has not waited with it, in milliseconds. A request that has
 * is read in the next turns of the event loop; one that is read later because of a long turn is subject to the limit on
 * the lag of the event loop.
 */
const READ_WITHIN_MS = 300;

/** How long a connection waited to be accepted. */
export type AcceptWait = {
    /** Upper bound of the wait, in milliseconds. */
    readonly milliseconds: number;
    /** True if the wait was too long for its request to be served. */
    readonly isTooLong: boolean;
};

/** Waiting times of accepted connections. */
export type AcceptQueue = {
    /**
     * Only the first request of a connection can have arrived during the wait, so further calls return no wait. Nor do
     * calls long after the connection was accepted, as a request that had arrived by then would have been read.
     */
    takeWait(connection: Socket): AcceptWait;
};

const NO_WAIT: AcceptWait = { milliseconds: 0, isTooLong: false };

type Probe = { readonly connection: Socket; readonly startedAt: number };

/** Monitors the connections of a server. */
export function watchAcceptQueue(server: Server, options: {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly log: EventLog;
    /** Address at which the server listens. */
    readonly address: string;
    readonly port: number;
}): AcceptQueue {
    const { clock, counters, log, address, port } = options;
    const waits = new WeakMap<Socket, AcceptWait & { readonly acceptedAt: number }>();
    /** Time since which every turn of the event loop has accepted a connection, in monotonic milliseconds. */
    let busySince: number | undefined;
    let hasAccepted = false;
    /** A connection of the entry to itself, which waits in the queue like those of callers. */
    let probe: Probe | undefined;
    /** Whether the connections ahead of the probe have waited too long. */
    let isTooLong = false;
    let overdue = 0;

    const endProbe = () => {
        probe?.connection.destroy();
        probe = undefined;
        if (isTooLong) {
            isTooLong = false;
            log(EventLevel.Warning, "connections are accepted in time again", { overdue });
            overdue = 0;
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
        if (waitMilliseconds > MAXIMUM_WAIT_MS && !isTooLong) {
            // The connections ahead of the probe have waited at least as long.
            isTooLong = true;
            log(EventLevel.Warning, "connections have waited too long", {
                waitMilliseconds: Math.round(waitMilliseconds),
            });
        }
        return false;
    };

    server.on("connection", (connection: Socket) => {
        if (recordAccept(connection.remoteAddress, connection.remotePort)) {
            connection.destroy();
            return;
        }
        const acceptedAt = clock.monotonicMilliseconds();
        waits.set(connection, { acceptedAt, milliseconds: acceptedAt - (busySince ?? Infinity), isTooLong });
        if (isTooLong) {
            overdue += 1;
            counters.increment("gateway.connections_overdue");
        }
    });
    return {
        takeWait: connection => {
            const wait = waits.get(connection);
            waits.delete(connection);
            const hasWaited = wait !== undefined && clock.monotonicMilliseconds() - wait.acceptedAt <= READ_WITHIN_MS;
            return hasWaited ? wait : NO_WAIT;
        },
    };
}
