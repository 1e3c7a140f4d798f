/**
 * Tells whether the peer of a request has disconnected.
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * Returns true once the connection of a request is closed or its end has been read.
 *
 * @param connection Must be given if the response may wait for earlier ones, as it has no connection until then.
 */
export const hasDisconnected = (response: ServerResponse, connection: Socket | null = response.socket) =>
    response.destroyed || connection?.destroyed === true || connection?.readableEnded === true;
