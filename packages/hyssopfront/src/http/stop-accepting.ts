/**
 * Stops accepting connections without resetting those that wait to be accepted.
 */
import { Server } from "node:net";
import { readPendingData } from "./read-pending-data.js";

/**
 * Stops accepting connections once those that wait in the queue of the kernel are accepted, because closing a listening
 * socket resets the connections in its queue. Those that are open stay open, whereas the `close` of an HTTP server would
 * also close connections whose last response has not been sent completely, because Node counts them as idle.
 *
 * @param hasTimedOut Returns true when the queue is to be closed even if it is not empty.
 */
export async function stopAccepting(server: Server, hasTimedOut: () => boolean): Promise<void> {
    let accepted = 0;
    const count = () => void (accepted += 1);
    server.on("connection", count);
    let acceptedBefore: number;
    do {
        acceptedBefore = accepted;
        // Each turn of the event loop accepts a connection unless the queue is empty.
        await readPendingData();
    }
    while (accepted > acceptedBefore && !hasTimedOut());
    server.off("connection", count);
    Server.prototype.close.call(server);
}
