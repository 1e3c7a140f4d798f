/**
 * Tells whether the peer of a request has disconnected.
 */
import type { ServerResponse } from "node:http";

/** Returns true once the connection of a request is closed or its end has been read. */
export const hasDisconnected = (response: ServerResponse) =>
    response.destroyed || response.socket?.readableEnded === true;
