/**
 * Rejects requests with invalid header names, some of which Node's parser accepts.
 */
import type { IncomingMessage, RequestListener, Server } from "node:http";
import type { Socket } from "node:net";

/** A token (RFC 9110, section 5.6.2). */
const HEADER_NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;

const hasInvalidHeaderName = ({ rawHeaders }: IncomingMessage) =>
    rawHeaders.some((text, index) => index % 2 === 0 && !HEADER_NAME.test(text));

/**
 * Wraps the request listener of a server so that a request with an invalid header name gets the same treatment as one
 * that cannot be parsed. The parser of Node 20.19 on arm64 accepts spaces in header names, and a proxy or backend
 * server that strips them could read `Transfer-Encoding : chunked` as framing.
 *
 * @param server Server whose `clientError` listeners handle rejected requests.
 * @param listener Listener for requests with valid header names.
 * @returns A listener for the events `request` and `checkExpectation` that closes the connection of such a request. The
 *     response comes from the server's `clientError` listeners, or is a plain 400 if it has none.
 */
export function rejectInvalidHeaders(server: Server, listener: RequestListener): RequestListener {
    const rejected = new WeakSet<Socket>();
    return (request, response) => {
        const { socket } = request;
        // Requests pipelined behind a rejected one may be part of its body.
        if (rejected.has(socket)) {
            return;
        }
        if (!hasInvalidHeaderName(request)) {
            listener(request, response);
            return;
        }
        rejected.add(socket);
        const error = Object.assign(new Error("A header name is not a token."), { code: "HPE_INVALID_HEADER_TOKEN" });
        if (!server.emit("clientError", error, socket)) {
            response.writeHead(400, { "connection": "close", "content-length": 0 });
            response.end();
        }
    };
}
