/**
 * The caller's side of an exchange.
 */
import type { ServerResponse } from "node:http";
import type { ResponseHead } from "../routing/attempt.js";
import { selectResponseHeaders } from "../routing/headers.js";
import type { AnswerSink } from "./dispatch.js";
import type { MessageHeaders } from "./message-headers.js";

/** An answer that the gateway makes itself. */
export type OwnAnswer = {
    readonly status: number;
    /** Time after which the caller should come back, in milliseconds; only for requests that have not run. */
    readonly retryAfterMilliseconds?: number;
};

export type CallerAnswer = {
    readonly sink: AnswerSink;
    /** Sends a whole answer of a backend server. */
    deliver(head: ResponseHead, body: Buffer): void;
    /** Sends an answer of the gateway's own. */
    answer(own: OwnAnswer): void;
    /** Ends the connection, so that the caller cannot take what it got for a whole answer. */
    cut(): void;
    readonly isGone: boolean;
    /** Called once when the caller leaves before the answer is complete. */
    onGone: () => void;
};

const hasNoBody = (method: string, status: number) => method === "HEAD" || status === 204 || status === 304;

/**
 * Wraps the response of one request.
 *
 * @param requestId Returned in answers of the gateway's own; empty when the caller sent none.
 * @param closesConnection True while the caller should connect elsewhere.
 */
export function createCallerAnswer(
    response: ServerResponse,
    method: string,
    requestId: string,
    names: MessageHeaders,
    closesConnection: () => boolean,
): CallerAnswer {
    const closeHeaders = () => closesConnection() ? { connection: "close" } : {};
    const answer: CallerAnswer = {
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
        deliver: (head, body) => {
            const headers = selectResponseHeaders(head.headers);
            if (!hasNoBody(method, head.status)) {
                headers["content-length"] = String(body.length);
            }
            response.writeHead(head.status, { ...headers, ...closeHeaders() });
            response.end(body);
        },
        answer: ({ status, retryAfterMilliseconds }) => {
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
        cut: () => void response.destroy(),
        get isGone() {
            return (response.destroyed || response.socket?.readableEnded === true) && !response.writableFinished;
        },
        onGone: () => undefined,
    };
    response.once("close", () => {
        if (!response.writableFinished) {
            answer.onGone();
        }
    });
    response.on("error", () => undefined);
    return answer;
}
