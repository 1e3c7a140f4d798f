/**
 * Closes idle connections without resetting requests that wait to be read.
 */
import type { Server } from "node:http";
import type { Socket } from "node:net";
import { readPendingData } from "./read-pending-data.js";

/**
 * Lets a server read what its clients have sent before it closes connections whose idle time (`keepAliveTimeout`) is
 * over. Node closes them from a timer, and timers run before connections are read, so after a pause of the process a
 * request that was sent while the connection could still be used would be reset unread.
 *
 * @param server Server without a `timeout` for connections with a request, so that the event means an idle connection.
 */
export function readBeforeIdleClose(server: Server): void {
    server.on("timeout", (connection: Socket) => {
        const { bytesRead } = connection;
        // The part of a head starts the idle time again.
        void readPendingData().then(() => {
            if (connection.bytesRead === bytesRead) {
                connection.destroy();
            }
        });
    });
}
