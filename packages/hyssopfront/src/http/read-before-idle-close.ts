/**
 * Closes idle connections without resetting requests that wait to be read.
 */
import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import { readPendingData } from "./read-pending-data.js";

/** Events with which a server begins a request. */
const REQUEST_EVENTS = ["request", "checkExpectation"] as const;

/**
 * Lets a server read what its clients have sent before it closes connections whose idle time (`keepAliveTimeout`) is
 * over. Node closes them from a timer, and timers run before connections are read, so after a pause of the process a
 * request that was sent while the connection could still be used would be reset unread.
 *
 * @param server Server without a `timeout` for connections with a request, so that the event means an idle connection.
 */
export function readBeforeIdleClose(server: Server): void {
    /** Connections with a part of a head, whose idle time this module has started again. */
    const restarted = new WeakSet<Socket>();
    /** Connections that have begun a request since their idle time was over. */
    const begun = new WeakSet<Socket>();
    const onRequest = ({ socket }: IncomingMessage) => {
        begun.add(socket);
        if (restarted.delete(socket)) {
            socket.setTimeout(0);
        }
    };
    // A listener for an expectation that the server does not have would replace the response of Node.
    const observeRequests = () =>
        REQUEST_EVENTS.filter(event => server.listenerCount(event) > 0 && !server.listeners(event).includes(onRequest))
            .forEach(event => server.prependListener(event, onRequest));

    server.on("timeout", (connection: Socket) => {
        observeRequests();
        const { bytesRead, timeout: idleMilliseconds = 0 } = connection;
        begun.delete(connection);
        void readPendingData().then(() => {
            if (connection.bytesRead === bytesRead) {
                connection.destroy();
            }
            else if (!begun.has(connection) && !connection.destroyed) {
                // The part of a head starts the idle time again. Node 20.19 ends it instead, and the connection would
                // stay open.
                restarted.add(connection);
                connection.setTimeout(idleMilliseconds);
            }
        });
    });
}
