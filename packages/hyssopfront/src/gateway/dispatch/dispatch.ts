/**
 * Sends a request to one backend server and collects its response.
 */
import type { Clock } from "@hyssopfront/coordination";
import {
    type Attempt,
    isDelimited,
    type ResponseHead,
    type ResponseRules,
    startAttempt,
} from "../../routing/attempt.js";
import { FailureReason } from "../../routing/messages.js";
import { promisesNotRun } from "../../routing/response-status.js";
import type { BackendServer } from "../backend-servers.js";
import type { GatewayRequest } from "../gateway-request.js";
import type { HeaderNames } from "../header-names.js";
import { createBodyBuffer } from "./body-buffer.js";

/** Largest response that is buffered until it is complete, in bytes; longer ones are streamed to the caller. */
const MAXIMUM_BUFFERED_RESPONSE_BYTES = 256 * 1024;
/** Idle time beyond which a new connection is preferred, in milliseconds, since backend servers close idle ones. */
const FRESH_CONNECTION_IDLE_MS = 4_000;

/** Largest body of a refused response, in bytes, that is read in order to reuse the connection. */
const MAXIMUM_REFUSED_BYTES = 64 * 1024;
/** Pause of a caller's reading, in milliseconds, after which backend servers may cut off a response. */
const CALLER_STALL_MS = 2_000;

/** Lowest status of a response that is no success (RFC 9110, section 15). */
const MINIMUM_UNSUCCESSFUL_STATUS = 300;

/** How a dispatch ended; a field of the log. */
export enum DispatchOutcome {
    /** The response was received completely. */
    Completed = "answered",
    /** The response was too long to buffer, or there was no memory for it, and was streamed to the caller. */
    Streamed = "streamed",
    /** The response broke off after a part of it had been streamed to the caller. */
    Truncated = "cut-short",
    /** The response broke off, or may have, because the caller did not read it. */
    CallerStalled = "not-read",
    /** The backend server has declared that it did not run the request. */
    Rejected = "refused",
    /** A different backend server responded at the address. */
    Replaced = "replaced",
    /** No byte of the request was sent. */
    NotSent = "not-sent",
    /** The request was sent and may have run, but there is no valid response. */
    Failed = "failed",
    /** This entry has cancelled the request. */
    Cancelled = "cancelled",
}

/** Outcome of a dispatch with the response, if there is one. */
export type DispatchResult = {
    readonly outcome: DispatchOutcome;
    readonly head: ResponseHead | undefined;
    readonly body: Buffer | undefined;
    /** Reason of a failure; empty for a complete response. */
    readonly message: string;
    /** Status for which the response was refused. */
    readonly refusedStatus?: number;
};

/** Destination of a streamed response. */
export type ResponseSink = {
    begin(head: ResponseHead): void;
    /** @returns False if the buffer is full; writing may continue once `onWritable` is called. */
    write(chunk: Buffer, onWritable: () => void): boolean;
    end(): void;
};

/** A request on its way to a backend server. */
export type Dispatch = {
    readonly result: Promise<DispatchResult>;
    /** Closes the connection, which makes most backend servers abort the request. */
    cancel(): void;
    /** Returns true once the request may have reached the backend server. */
    wasSent(): boolean;
};

const firstValue = (value: string | string[] | undefined) => Array.isArray(value) ? value[0] : value;

/** A successful response must be signed by a backend server and must not be encoded. Others are not checked. */
const isAuthentic = ({ status, headers }: ResponseHead, headerNames: HeaderNames) =>
    status >= MINIMUM_UNSUCCESSFUL_STATUS
    || (headers[headerNames.responseSignature] !== undefined && headers["content-encoding"] === undefined);

function recordReportedLoad(
    server: BackendServer,
    head: ResponseHead,
    headerNames: HeaderNames,
    reportedAt: number,
): void {
    const parts = firstValue(head.headers[headerNames.load])?.split(",").map(Number);
    const [running, waiting] = parts ?? [];
    if (running !== undefined && waiting !== undefined && Number.isFinite(running + waiting)) {
        server.load = { running, waiting, inFlightAtReport: server.inFlight, reportedAt };
    }
}

/**
 * Sends a request. The promise of the result never rejects; it resolves when the response is complete or the dispatch
 * has failed.
 *
 * @param options.endsAt Deadline of the request, in monotonic milliseconds.
 * @param options.onResponseHead Called as soon as the head of a response to this request arrives, rejections included.
 * @param options.sink Receives the response if it is not buffered.
 */
export function dispatch(options: {
    readonly clock: Clock;
    readonly server: BackendServer;
    readonly request: GatewayRequest;
    readonly headerNames: HeaderNames;
    readonly connectionLimit: number;
    readonly endsAt: number;
    readonly onResponseHead: (head: ResponseHead) => void;
    readonly sink: ResponseSink;
}): Dispatch {
    const { clock, server, request, headerNames, sink } = options;
    const connection = server.connections.acquire(options.connectionLimit, FRESH_CONNECTION_IDLE_MS);
    if (connection === undefined) {
        return {
            result: Promise.resolve({
                outcome: DispatchOutcome.NotSent,
                head: undefined,
                body: undefined,
                message: "The connection limit is reached.",
            }),
            cancel: () => undefined,
            wasSent: () => false,
        };
    }
    const startedAt = clock.monotonicMilliseconds();
    const body = createBodyBuffer();
    let isStreaming = false;
    /** Status for which the response must not reach the caller. */
    let refusedStatus: number | undefined;
    let refusedBytes = 0;
    /** Since when the sink is full, in monotonic milliseconds. */
    let pausedAt: number | undefined;
    let longestPause = 0;
    let head: ResponseHead | undefined;
    let resolveResult: (result: DispatchResult) => void = () => undefined;
    let isEnded = false;
    const result = new Promise<DispatchResult>(resolve => {
        resolveResult = resolve;
    });
    server.inFlight += 1;
    const finish = (outcome: DispatchOutcome, message = "", wholeBody?: Buffer) => {
        if (!isEnded) {
            isEnded = true;
            if (head !== undefined) {
                recordReportedLoad(server, head, headerNames, clock.monotonicMilliseconds());
            }
            server.inFlight -= 1;
            resolveResult({ outcome, head, body: wholeBody, message, refusedStatus });
        }
    };

    const finishRefused = (status: number) =>
        finish(
            DispatchOutcome.Failed,
            `The status ${status} without a rejection does not prove that the request has not run.`,
        );
    const endPause = () => {
        longestPause = Math.max(longestPause, clock.monotonicMilliseconds() - (pausedAt ?? Infinity));
        pausedAt = undefined;
    };
    const hasCallerStalled = () => {
        endPause();
        return longestPause >= CALLER_STALL_MS;
    };
    const writeToSink = (chunk: Buffer) => {
        const isWritable = sink.write(chunk, () => {
            endPause();
            attempt.resume();
        });
        if (!isWritable) {
            pausedAt ??= clock.monotonicMilliseconds();
        }
        return isWritable;
    };

    const rules: ResponseRules = {
        requestIdHeader: headerNames.requestId,
        isRejection: ({ status, headers }) => headers[headerNames.notExecuted] !== undefined || status === 421,
        allowsCloseDelimited: true,
    };
    let hasRequestId = false;
    /** Only successes are streamed for lack of memory: others may be retried, or must not be forwarded as they are. */
    const mayBuffer = (bytes: number, { status }: ResponseHead) =>
        body.length + bytes <= MAXIMUM_BUFFERED_RESPONSE_BYTES
        && (request.memory.tryReserve(bytes) || status >= MINIMUM_UNSUCCESSFUL_STATUS);
    const isBufferedBody = request.body === undefined || Buffer.isBuffer(request.body);
    const attempt: Attempt = startAttempt(connection, {
        method: request.method,
        path: request.path,
        headers: [
            ...request.headers,
            headerNames.deadline,
            String(Math.max(1, Math.floor(options.endsAt - startedAt))),
            headerNames.expectedBackendServer,
            server.record.id,
        ],
        body: isBufferedBody ? request.body as Buffer | undefined : request.body.chunks,
        requestId: request.id,
        responseRules: rules,
        // A backend server that rejects a request unread does not return the request id. On a reused connection, such a
        // rejection may be a late copy of an earlier one, which says nothing about this request.
        expectsRequestId: response => !rules.isRejection(response) || connection.isReused,
        onRequestIdReturned: () => {
            hasRequestId = true;
        },
        // The deadline timer may fire late on a busy or throttled instance.
        checkBeforeWriting: () =>
            isEnded || clock.monotonicMilliseconds() >= options.endsAt ? FailureReason.DeadlinePassed : undefined,
    }, {
        onHead: responseHead => {
            head = responseHead;
            options.onResponseHead(responseHead);
            if (promisesNotRun(responseHead.status)) {
                refusedStatus = responseHead.status;
                return;
            }
            if (!isAuthentic(responseHead, headerNames)) {
                attempt.cancel();
                finish(DispatchOutcome.Failed, "The response has no signature of the backend server, or is encoded.");
            }
        },
        onData: chunk => {
            if (refusedStatus !== undefined) {
                refusedBytes += chunk.length;
                if (refusedBytes > MAXIMUM_REFUSED_BYTES) {
                    attempt.cancel();
                    finishRefused(refusedStatus);
                }
                return true;
            }
            if (!isStreaming && head !== undefined && !mayBuffer(chunk.length, head)) {
                isStreaming = true;
                sink.begin(head);
                sink.write(body.take(), () => undefined);
            }
            if (isStreaming) {
                return writeToSink(chunk);
            }
            body.append(chunk);
            return true;
        },
        onEnd: () => {
            if (isStreaming && !isDelimited(request.method, head as ResponseHead) && hasCallerStalled()) {
                finish(DispatchOutcome.CallerStalled, "The connection, whose end ends the response, was closed.");
                return;
            }
            server.health.recordSuccess();
            if (refusedStatus !== undefined) {
                finishRefused(refusedStatus);
                return;
            }
            if (isStreaming) {
                sink.end();
                finish(DispatchOutcome.Streamed);
                return;
            }
            finish(DispatchOutcome.Completed, "", body.take());
        },
        onRejected: rejection => {
            head = rejection;
            options.onResponseHead(rejection);
            finish(
                rejection.status === 421 ? DispatchOutcome.Replaced : DispatchOutcome.Rejected,
                `Status ${rejection.status}.`,
            );
        },
        onFailure: failure => {
            refusedStatus ??= failure.invalidStatus;
            if (isStreaming) {
                finish(
                    hasCallerStalled() ? DispatchOutcome.CallerStalled : DispatchOutcome.Truncated,
                    failure.message,
                );
                return;
            }
            finish(failure.wasWritten ? DispatchOutcome.Failed : DispatchOutcome.NotSent, failure.message);
        },
    }, {
        // If the backend server responds before it has read all of a streamed body, the rest of the body is left on the
        // connection, which therefore cannot be reused. After a response without an id, a second copy of it could not be
        // told from the next response.
        release: () =>
            isBufferedBody && hasRequestId
                ? server.connections.release(connection)
                : server.connections.discard(connection),
        discard: () => server.connections.discard(connection),
    });
    return {
        result,
        cancel: () => {
            attempt.cancel();
            finish(DispatchOutcome.Cancelled);
        },
        wasSent: () => attempt.wasWritten(),
    };
}
