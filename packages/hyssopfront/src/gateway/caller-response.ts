/**
 * The caller's side of an exchange.
 */
import type { ServerResponse } from "node:http";
import type { ResponseHead } from "../routing/attempt.js";
import { selectResponseHeaders } from "../routing/headers.js";
import type { ResponseSink } from "./dispatch.js";
import type { HeaderNames } from "./header-names.js";

/** An answer that the gateway makes itself. */
export type LocalResponse = {
    readonly status: number;
    /** Time after which the caller should come back, in milliseconds; only for requests that have not run. */
    readonly retryAfterMilliseconds?: number;
};

export type CallerResponse = {
    readonly sink: ResponseSink;
    /** Sends a whole answer of a backend server. */
    send(head: ResponseHead, body: Buffer): void;
    /** Sends an answer of the gateway's own. */
    sendLocalResponse(own: LocalResponse): void;
    /** Ends the connection, so that the caller cannot take what it got for a whole answer. */
    abort(): void;
    readonly isDisconnected: boolean;
    /** Called once when the caller leaves before the answer is complete. */
    onDisconnect: () => void;
};

const hasNoBody = (method: string, status: number) => method === "HEAD" || status === 204 || status === 304;

/**
 * Wraps the response of one request.
 *
 * @param requestId Returned in answers of the gateway's own; empty when the caller sent none.
 * @param closesConnection True while the caller should connect elsewhere.
 */
export function createCallerResponse(
    response: ServerResponse,
    method: string,
    requestId: string,
    names: HeaderNames,
    closesConnection: () => boolean,
): CallerResponse {
    const closeHeaders = () => closesConnection() ? { connection: "close" } : {};
    const answer: CallerResponse = {
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
                ...requestId === "" ? {} : { [names.requestId]: requestId },
                ...retryAfterMilliseconds === undefined
                    ? {}
                    : { [names.retryAfter]: (retryAfterMilliseconds / 1_000).toFixed(3) },
                ...closeHeaders(),
            });
            response.end();
        },
        abort: () => void response.destroy(),
        get isDisconnected() {
            return (response.destroyed || response.socket?.readableEnded === true) && !response.writableFinished;
        },
        onDisconnect: () => undefined,
    };
    response.once("close", () => {
        if (!response.writableFinished) {
            answer.onDisconnect();
        }
    });
    response.on("error", () => undefined);
    return answer;
}
