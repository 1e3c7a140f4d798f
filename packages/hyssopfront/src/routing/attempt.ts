/**
 * One dispatch of a request on one connection to a backend server.
 */
import type { Dispatcher } from "undici";
import type { BackendConnection } from "./backend-connection-pool.js";
import { FailureReason, REJECTED_HEADER, REQUEST_ID_HEADER } from "./messages.js";
import { isFinalStatus, isInformationalStatus } from "./response-status.js";

/** How responses are interpreted. Differs between the interfaces of backend servers. */
export type ResponseRules = {
    /** Lower-case name of the header that returns the id of the request. */
    readonly requestIdHeader: string;
    /** Returns true if the response says that the backend server did not run the request. */
    readonly isRejection: (head: ResponseHead) => boolean;
    /** True when a response without a length may end with its connection. */
    readonly allowsCloseDelimited: boolean;
};

/** Rules of the native interface of hyssopfront. */
export const NATIVE_RESPONSE_RULES: ResponseRules = {
    requestIdHeader: REQUEST_ID_HEADER,
    isRejection: ({ status, headers }) => status === 503 && headers[REJECTED_HEADER] === "true",
    allowsCloseDelimited: false,
};

/** Status and headers of a response. */
export type ResponseHead = {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
};

/** Why an attempt failed. */
export type AttemptFailure = {
    /** False only if it is certain that no byte of the request was sent. */
    readonly wasWritten: boolean;
    readonly reason: FailureReason;
    readonly message: string;
    /** Status of a response that is not valid for it. */
    readonly invalidStatus?: number;
};

/** Receives the response of an attempt and its end. */
export type AttemptListener = {
    /** Called when the final response begins, unless it is a rejection. */
    onHead(head: ResponseHead): void;
    /** @returns False to pause reading until `resume` is called. */
    onData(chunk: Buffer): boolean;
    /** Called when the response was read completely. */
    onEnd(): void;
    /** Called when the backend server rejected the request without running it. */
    onRejected(head: ResponseHead): void;
    /** Called when the attempt failed. After `onHead`, the response is truncated. */
    onFailure(failure: AttemptFailure): void;
};

/** A request as it is dispatched to one backend server. */
export type AttemptRequest = {
    readonly method: string;
    readonly path: string;
    /** Alternating names and values. */
    readonly headers: readonly string[];
    readonly body: Buffer | AsyncIterable<Uint8Array> | undefined;
    readonly requestId: string;
    readonly responseRules: ResponseRules;
    /** Returns true if the response must carry the id of its request. */
    readonly expectsRequestId: (head: ResponseHead) => boolean;
    /** Called when a response carries the id of its request. */
    readonly onRequestIdReturned: () => void;
    /** Called right before the request is written. Returns a reason to withhold the request. */
    readonly checkBeforeWriting: () => FailureReason | undefined;
};

/** An attempt under way. */
export type Attempt = {
    /** Resumes reading after `onData` returned false. */
    resume(): void;
    /** Closes the connection. The listener is not called again. */
    cancel(): void;
    /**
     * Returns true once the request may have reached the backend server. This is not an accessor property, because V8
     * creates a hidden class in the old generation for each object literal with an accessor. The hidden class would
     * keep the whole request in memory until the next full garbage collection.
     */
    wasWritten(): boolean;
};

/** Hands back the connection of an ended attempt. */
export type ConnectionHandle = {
    /** Called when the connection can carry another request. */
    release(): void;
    /** Called when the connection must be closed. */
    discard(): void;
};

/** Limit on informational responses before the final one, so that a backend server cannot send them without end. */
const MAXIMUM_INFORMATIONAL_RESPONSES = 16;
/** Largest body of a rejection, in bytes, that is read in order to reuse the connection. */
const MAXIMUM_REJECTION_BYTES = 64 * 1024;
/** Most bytes of a response that are not part of its body. Its headers are limited to a fraction of it. */
const MAXIMUM_FRAMING_BYTES = 256 * 1024;
/** Additional framing bytes for each byte of the body; chunks of a single byte need 5. */
const FRAMING_BYTES_PER_BODY_BYTE = 16;

/** Headers that informational responses cannot have (RFC 9110, sections 6.4.1 and 8.6). */
const FRAMING_HEADERS = ["content-length", "transfer-encoding"];

/** Returns true if a length or chunked coding shows where the response ends (RFC 9112, section 6.3). */
export function isDelimited(method: string, head: ResponseHead): boolean {
    if (method === "HEAD" || head.status === 204 || head.status === 304) {
        return true;
    }
    return head.headers["content-length"] !== undefined || head.headers["transfer-encoding"] === "chunked";
}

const closesConnection = (head: ResponseHead) =>
    typeof head.headers.connection === "string" && /\bclose\b/i.test(head.headers.connection);

/**
 * Dispatches a request on a connection. Unless the attempt is cancelled, it ends with exactly one call of `onEnd`,
 * `onRejected` or `onFailure` of the listener.
 *
 * @param connectionHandle Called once, when the connection is no longer used.
 */
export function startAttempt(
    connection: BackendConnection,
    request: AttemptRequest,
    listener: AttemptListener,
    connectionHandle: ConnectionHandle,
): Attempt {
    const rules = request.responseRules;
    let controller: Dispatcher.DispatchController | undefined;
    let head: ResponseHead | undefined;
    let isRejected = false;
    let isEnded = false;
    let withheldReason: FailureReason | undefined;
    let wasWritten = false;
    let informationalResponses = 0;
    let bodyBytes = 0;
    let bytesReadBefore = 0;

    const fail = (reason: FailureReason, message: string, invalidStatus?: number) => {
        if (!isEnded) {
            isEnded = true;
            connectionHandle.discard();
            listener.onFailure({ wasWritten, reason, message, invalidStatus });
        }
    };
    const failInvalidResponse = (message: string, invalidStatus?: number) => {
        fail(FailureReason.BadResponse, message, invalidStatus);
        controller?.abort(new Error(message));
    };

    const endRejected = (rejection: ResponseHead) => {
        isEnded = true;
        connectionHandle.discard();
        listener.onRejected(rejection);
    };

    /** Ends a response that is too long. A rejection that has been read remains one. */
    const endTooLong = (message: string) => {
        if (isRejected && head !== undefined) {
            endRejected(head);
            controller?.abort(new Error(message));
            return;
        }
        failInvalidResponse(message);
    };
    /** Ends a response in which bytes that belong to no body arrive without end, which the parser skips or collects. */
    const limitFraming = () => {
        const framingBytes = (connection.socket?.bytesRead ?? 0) - bytesReadBefore - bodyBytes;
        if (!isEnded && framingBytes > MAXIMUM_FRAMING_BYTES + bodyBytes * FRAMING_BYTES_PER_BODY_BYTE) {
            endTooLong("The backend server sends bytes that are no part of a body without end.");
        }
    };

    const resume = () => {
        connection.resumeReading = undefined;
        controller?.resume();
    };

    const handler: Dispatcher.DispatchHandler = {
        onRequestStart: dispatchController => {
            if (wasWritten) {
                // The HTTP client must never resend a request on its own.
                dispatchController.abort(new Error("The request was already written once."));
                return;
            }
            controller = dispatchController;
            withheldReason = isEnded ? FailureReason.DeadlinePassed : request.checkBeforeWriting();
            if (withheldReason !== undefined) {
                dispatchController.abort(new Error("The request must not be written anymore."));
                return;
            }
            wasWritten = true;
            bytesReadBefore = connection.socket?.bytesRead ?? 0;
            connection.onBytesReceived = limitFraming;
        },
        onResponseStart: (dispatchController, status, headers) => {
            if (isEnded) {
                return;
            }
            const isInformational = isInformationalStatus(status)
                && [...FRAMING_HEADERS, rules.requestIdHeader].every(name => headers[name] === undefined);
            if (!isInformational && !isFinalStatus(status)) {
                failInvalidResponse(`The response has the invalid status ${status}.`, status);
                return;
            }
            if (isInformational) {
                informationalResponses += 1;
                if (informationalResponses > MAXIMUM_INFORMATIONAL_RESPONSES) {
                    failInvalidResponse("The backend server sends informational answers without end.");
                }
                return;
            }
            head = { status, headers };
            const returnedId = headers[rules.requestIdHeader];
            if (returnedId === undefined ? request.expectsRequestId(head) : returnedId !== request.requestId) {
                failInvalidResponse("The answer does not carry the id of the request.");
                return;
            }
            if (returnedId !== undefined) {
                request.onRequestIdReturned();
            }
            if (!rules.allowsCloseDelimited && !isDelimited(request.method, head)) {
                failInvalidResponse("The answer has neither a length nor chunked coding.");
                return;
            }
            isRejected = rules.isRejection(head);
            if (!isRejected) {
                controller = dispatchController;
                listener.onHead(head);
            }
        },
        onResponseData: (dispatchController, chunk) => {
            // Resuming delivers an empty chunk. Pausing on that chunk again would stop the reading forever.
            if (isEnded || chunk.length === 0) {
                return;
            }
            bodyBytes += chunk.length;
            if (isRejected) {
                if (bodyBytes > MAXIMUM_REJECTION_BYTES) {
                    endTooLong("The body of the rejection is too long.");
                }
                return;
            }
            if (!listener.onData(chunk)) {
                connection.resumeReading = resume;
                dispatchController.pause();
            }
        },
        onResponseEnd: () => {
            if (isEnded || head === undefined) {
                return;
            }
            if (connection.isReset && !isDelimited(request.method, head)) {
                fail(FailureReason.BackendServerFailed, "The connection was reset before the answer ended.");
                return;
            }
            isEnded = true;
            if (closesConnection(head) || !isDelimited(request.method, head)) {
                connectionHandle.discard();
            }
            else {
                connectionHandle.release();
            }
            if (isRejected) {
                listener.onRejected(head);
            }
            else {
                listener.onEnd();
            }
        },
        onResponseError: (_controller, error) => {
            if (isRejected && head !== undefined && !isEnded) {
                endRejected(head);
                return;
            }
            if (withheldReason !== undefined) {
                fail(withheldReason, "The request was withheld right before it was written.");
                return;
            }
            const isInvalidRequest = "code" in error && error.code === "UND_ERR_INVALID_ARG";
            fail(
                isInvalidRequest
                    ? FailureReason.BadRequest
                    : wasWritten
                    ? FailureReason.BackendServerFailed
                    : FailureReason.BackendServerUnreachable,
                error.message,
            );
        },
    };
    connection.client.dispatch({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers as string[],
        body: request.body as Dispatcher.DispatchOptions["body"],
    }, handler);

    return {
        resume,
        cancel: () => {
            if (!isEnded) {
                isEnded = true;
                connectionHandle.discard();
                controller?.abort(new Error("The request was cancelled."));
            }
        },
        wasWritten: () => wasWritten,
    };
}
