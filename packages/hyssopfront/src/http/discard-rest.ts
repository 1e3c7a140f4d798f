/**
 * Reads the rest of a request that was answered before its body had been read.
 */
import type { IncomingMessage } from "node:http";

/** Time within which the rest of a body must arrive, in milliseconds; callers give up a request after a few seconds. */
const DISCARD_TIMEOUT_MS = 3_000;
/** Largest rest of a body that is read, in bytes; reading more costs more than a new connection. */
const MAXIMUM_DISCARDED_BYTES = 16 * 1024 * 1024;

/**
 * Reads and discards the rest of a body once the request has been answered, so that the next request on the connection
 * can be read. Closes the connection if the rest is too long or does not arrive in time.
 */
export function discardRest(request: IncomingMessage): void {
    if (request.complete || request.destroyed) {
        return;
    }
    const { socket } = request;
    const timer = setTimeout(() => socket.destroy(), DISCARD_TIMEOUT_MS);
    request.once("close", () => clearTimeout(timer));
    let bytes = 0;
    request.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > MAXIMUM_DISCARDED_BYTES) {
            socket.destroy();
        }
    });
    request.resume();
}
