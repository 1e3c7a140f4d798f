/**
 * Writes the response to a caller.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { hasDisconnected } from "../http/has-disconnected.js";
import type { ResponseHead } from "../routing/attempt.js";
import { selectResponseHeaders } from "../routing/headers.js";
import type { ResponseSink } from "./dispatch/dispatch.js";
import type { HeaderNames } from "./header-names.js";

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

/** Wraps Node's response to one request. The id of the request is returned in local responses. */
export function createCallerResponse(
    response: ServerResponse,
    message: IncomingMessage,
    headerNames: HeaderNames,
    connectionEnd: ConnectionEnd,
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
    const callerResponse: CallerResponse = {
        sink: {
            begin: head =>
                void response.writeHead(head.status, { ...selectResponseHeaders(head.headers), ...closeHeaders() }),
            write: (chunk, onWritable) => {
                if (response.destroyed || response.write(chunk)) {
                    return true;
                }
                response.once("drain", onWritable);
                return false;
            },
            end: () => void response.end(),
        },
        send: (head, body) => {
            const headers = selectResponseHeaders(head.headers);
            if (!hasNoBody(method, head.status)) {
                headers["content-length"] = String(body.length);
            }
            response.writeHead(head.status, { ...headers, ...closeHeaders() });
            response.end(body);
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
            response.end();
        },
        abort: () => {
            connectionEnd.onClosing();
            response.destroy();
        },
        get isDisconnected() {
            return hasDisconnected(response, message.socket) && !response.writableFinished;
        },
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
