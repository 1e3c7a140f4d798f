/**
 * The HTTP server that callers connect to, and its responses to requests that the parser of Node.js rejects.
 */
import type { Counters } from "@hyssopfront/coordination";
import { createServer, type IncomingMessage, type Server, type ServerOptions, type ServerResponse } from "node:http";
import { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { readBeforeIdleClose } from "../http/read-before-idle-close.js";
import { rejectInvalidHeaders } from "../http/reject-invalid-headers.js";
import { sendLocalResponseOnSocket } from "./local-response.js";
import { FailureReason, MAXIMUM_HEADER_BYTES, RequestOutcome } from "./messages.js";

const CALLER_SERVER_OPTIONS: ServerOptions = {
    maxHeaderSize: MAXIMUM_HEADER_BYTES,
    insecureHTTPParser: false,
    // The request path itself rejects requests without a Host header, with a local response.
    requireHostHeader: false,
    noDelay: true,
    // Common clients close idle connections after 4 s. With a longer timeout here, a request seldom races with the
    // close.
    keepAliveTimeout: 10_000,
    headersTimeout: 10_000,
    requestTimeout: 600_000,
};

type CallerHandler = {
    (request: IncomingMessage, response: ServerResponse): Promise<void>;
    handleClientError(error: Error & { code?: string }, socket: Duplex): void;
};

/**
 * Creates the server that callers connect to. It does not listen yet. The handler gets every request that can be
 * parsed, including those that Node.js would respond to on its own in another format.
 */
export function createCallerServer(handler: CallerHandler): Server {
    const server = createServer(CALLER_SERVER_OPTIONS);
    readBeforeIdleClose(server);
    const handle = rejectInvalidHeaders(server, (request, response) => void handler(request, response));
    server.on("request", handle);
    server.on("checkExpectation", handle);
    server.on("clientError", (error: Error, socket) => handler.handleClientError(error, socket));
    return server;
}

/** Local response to a request that cannot be parsed. */
type ParseErrorResponse = { readonly status: number; readonly reason: FailureReason; readonly message: string };

/** Responses by the error code of Node.js. */
const PARSE_ERROR_RESPONSES: Readonly<Record<string, ParseErrorResponse>> = {
    HPE_HEADER_OVERFLOW: {
        status: 431,
        reason: FailureReason.HeadersTooLarge,
        message: `The headers are larger than ${MAXIMUM_HEADER_BYTES} bytes.`,
    },
    HPE_UNEXPECTED_CONTENT_LENGTH: {
        status: 400,
        reason: FailureReason.BadFraming,
        message: "Content-Length occurs twice or together with Transfer-Encoding.",
    },
    HPE_INVALID_CONTENT_LENGTH: {
        status: 400,
        reason: FailureReason.BadFraming,
        message: "Content-Length is not a valid length.",
    },
    HPE_INVALID_TRANSFER_ENCODING: {
        status: 400,
        reason: FailureReason.BadFraming,
        message: "Transfer-Encoding is not valid, or is combined with Content-Length.",
    },
    ERR_HTTP_REQUEST_TIMEOUT: {
        status: 408,
        reason: FailureReason.RequestTimeout,
        message: "The request did not arrive in time.",
    },
};

/**
 * Sends a local response on the socket, closes it and counts the rejection. If an earlier request on the connection
 * still awaits its response, the connection is closed without a response, because the caller would mistake it for that
 * of the earlier request.
 *
 * @param error Error of the parser.
 * @param entry Name of this entry.
 * @param hasOpenResponses True if an earlier request on the connection awaits its response.
 */
export function rejectUnparsableRequest(
    error: Error & { code?: string },
    socket: Duplex,
    entry: string,
    counters: Counters,
    hasOpenResponses: boolean,
): void {
    if (socket instanceof Socket && socket.writableEnded) {
        // The parser still reads the bytes after a request that was already rejected.
        socket.destroySoon();
        return;
    }
    const parseErrorResponse = PARSE_ERROR_RESPONSES[error.code ?? ""] ?? {
        status: 400,
        reason: FailureReason.BadRequest,
        message: "The request is not valid HTTP/1.1.",
    };
    counters.increment("routing.unparsable", 1, { reason: parseErrorResponse.reason });
    const canRespond = error.code !== "ECONNRESET" && socket.writable && !hasOpenResponses;
    if (!canRespond || !(socket instanceof Socket)) {
        socket.destroy();
        return;
    }
    sendLocalResponseOnSocket(socket, entry, { ...parseErrorResponse, outcome: RequestOutcome.NotRun });
}
