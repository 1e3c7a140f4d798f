/**
 * How long new connections may have waited to be accepted.
 *
 * Node accepts one connection in each turn of the event loop. Under load, connections queue in the kernel for seconds
 * although no turn takes long, and their callers may have left before they are accepted.
 */
import type { Clock } from "@hyssopfront/coordination";
import type { Server, Socket } from "node:net";

export type AcceptQueue = {
    /**
     * Longest time for which the connection may have waited, in milliseconds. Only its first request came while it
     * waited: 0 when it is asked again.
     */
    takeWait(connection: Socket): number;
};

/** Watches the connections that a server accepts. */
export function watchAcceptQueue(server: Server, clock: Clock): AcceptQueue {
    const waits = new WeakMap<Socket, number>();
    /** Since when no turn of the event loop has found the queue empty. */
    let busySince: number | undefined;
    let hasAccepted = false;

    const endTurn = () => {
        if (hasAccepted) {
            hasAccepted = false;
            setImmediate(endTurn);
        }
        else {
            busySince = undefined;
        }
    };
    server.on("connection", (connection: Socket) => {
        const now = clock.monotonicMilliseconds();
        hasAccepted = true;
        if (busySince === undefined) {
            busySince = now;
            setImmediate(endTurn);
        }
        waits.set(connection, now - busySince);
    });
    return {
        takeWait: connection => {
            const wait = waits.get(connection) ?? 0;
            waits.delete(connection);
            return wait;
        },
    };
}
