/**
 * Writes the response to a caller.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { hasDisconnected } from "../http/has-disconnected.js";
import type { ResponseHead } from "../routing/attempt.js";
import { selectResponseHeaders } from "../routing/headers.js";
import type { ResponseSink } from "./dispatch/dispatch.js";
import type { HeaderNames } from "./header-names.js";
import type { UnreadResponses } from "./unread-responses.js";

/** A response that the gateway makes itself. */
export type LocalResponse = {
    readonly status: number;
    /** Time after which the caller should retry, in milliseconds; only for requests that have not run. */
    readonly retryAfterMilliseconds?: number;
};

/** The response to one request of a caller. */
export type CallerResponse = {
    /** Receives a streamed response of a backend server. */
    readonly sink: ResponseSink;
    /** Sends a complete response of a backend server. */
    send(head: ResponseHead, body: Buffer): void;
    sendLocalResponse(localResponse: LocalResponse): void;
    /** Closes the connection, so that the caller cannot take a truncated response for a complete one. */
    abort(): void;
    readonly isDisconnected: boolean;
    /** Whether the caller may have got a part of the response. */
    hasBegun(): boolean;
    /** Whether a streamed response waits until the caller reads. */
    isBlocked(): boolean;
    /** Called once if the caller disconnects before the response is complete. */
    onDisconnect: () => void;
};

const hasNoBody = (method: string, status: number) => method === "HEAD" || status === 204 || status === 304;

/** How the connection of a caller ends. */
export type ConnectionEnd = {
    /** True while the caller should connect to another entry. */
    shouldClose(): boolean;
    /** Called when the response closes the connection, so that no request behind this one can get a response. */
    onClosing(): void;
};

/** Bytes that have been read from a backend server, and are kept while the response waits until the caller reads. */
const PAUSED_READ_BYTES = 64 * 1024;
/** Memory of a response beside its body, in bytes. */
const RESPONSE_BYTES = 1_024;

/** Wraps Node's response to one request. The id of the request is returned in local responses. */
export function createCallerResponse(
    response: ServerResponse,
    message: IncomingMessage,
    headerNames: HeaderNames,
    connectionEnd: ConnectionEnd,
    unreadResponses: UnreadResponses,
): CallerResponse {
    const method = message.method ?? "GET";
    const requestId = String(message.headers[headerNames.requestId] ?? "");
    const closeHeaders = () => {
        if (!connectionEnd.shouldClose()) {
            return {};
        }
        connectionEnd.onClosing();
        return { connection: "close" };
    };
    let isBlocked = false;
    let onUnblocked: () => void = () => undefined;
    let endsWithConnection = false;
    /** Ends a response, and counts what the kernel does not take at once. */
    const end = (body?: Buffer) => {
        response.end(body);
        if (!response.writableFinished) {
            response.once("close", unreadResponses.add(message.socket, RESPONSE_BYTES + (body?.length ?? 0)));
        }
    };
    const callerResponse: CallerResponse = {
        sink: {
            begin: head => {
                response.writeHead(head.status, { ...selectResponseHeaders(head.headers), ...closeHeaders() });
                endsWithConnection = !response.chunkedEncoding && head.headers["content-length"] === undefined;
            },
            write: (chunk, onWritable) => {
                if (
                    response.destroyed
                    || response.write(chunk, unreadResponses.add(message.socket, chunk.length)) || response.destroyed
                ) {
                    return true;
                }
                onUnblocked = onWritable;
                if (!isBlocked) {
                    isBlocked = true;
                    const onRead = unreadResponses.add(message.socket, PAUSED_READ_BYTES);
                    response.once("drain", () => {
                        isBlocked = false;
                        onRead();
                        onUnblocked();
                    });
                }
                return false;
            },
            end: () => end(),
        },
        send: (head, body) => {
            const headers = selectResponseHeaders(head.headers);
            if (!hasNoBody(method, head.status)) {
                headers["content-length"] = String(body.length);
            }
            response.writeHead(head.status, { ...headers, ...closeHeaders() });
            end(body);
        },
        sendLocalResponse: ({ status, retryAfterMilliseconds }) => {
            response.writeHead(status, {
                "content-length": "0",
                ...requestId === "" ? {} : { [headerNames.requestId]: requestId },
                ...retryAfterMilliseconds === undefined
                    ? {}
                    : { [headerNames.retryAfter]: (retryAfterMilliseconds / 1_000).toFixed(3) },
                ...closeHeaders(),
            });
            end();
        },
        abort: () => {
            connectionEnd.onClosing();
            if (endsWithConnection) {
                // A caller of HTTP/1.0 would take the end of the connection for that of the response.
                message.socket.resetAndDestroy();
            }
            response.destroy();
        },
        get isDisconnected() {
            return hasDisconnected(response, message.socket) && !response.writableFinished;
        },
        hasBegun: () => response.headersSent,
        isBlocked: () => isBlocked,
        onDisconnect: () => undefined,
    };
    response.once("close", () => {
        if (!response.writableFinished) {
            callerResponse.onDisconnect();
        }
    });
    response.on("error", () => undefined);
    return callerResponse;
}
