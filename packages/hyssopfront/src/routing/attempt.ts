/**
 * One dispatch of a request on one connection to a backend server.
 */
import type { Dispatcher } from "undici";
import type { BackendConnection } from "./backend-connection-pool.js";
import { FailureReason, REJECTED_HEADER, REQUEST_ID_HEADER } from "./messages.js";

/** How answers are told apart; differs between the interfaces of backend servers. */
export type ResponseRules = {
    /** Lower-case name of the header that returns the id of the request. */
    readonly requestIdHeader: string;
    /** True when the backend server says that it did not run the request. */
    readonly isRejection: (head: ResponseHead) => boolean;
    /** True when an answer may end with its connection, without a length. */
    readonly allowsCloseDelimited: boolean;
};

/** Rules of hyssopfront's own interface. */
export const NATIVE_RESPONSE_RULES: ResponseRules = {
    requestIdHeader: REQUEST_ID_HEADER,
    isRejection: ({ status, headers }) => status === 503 && headers[REJECTED_HEADER] === "true",
    allowsCloseDelimited: false,
};

export type ResponseHead = {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
};

export type AttemptFailure = {
    /** False only when it is certain that no byte of the request was sent. */
    readonly wasWritten: boolean;
    readonly reason: FailureReason;
    readonly message: string;
};

export type AttemptListener = {
    /** The final answer begins; it is no refusal. */
    onHead(head: ResponseHead): void;
    /** @returns False to pause until `resume`. */
    onData(chunk: Buffer): boolean;
    /** The answer was read whole. */
    onEnd(): void;
    /** The backend server refused the request before running it. */
    onRejected(head: ResponseHead): void;
    /** Ends the attempt; after `onHead` the answer is cut short. */
    onFailure(failure: AttemptFailure): void;
};

export type AttemptRequest = {
    readonly method: string;
    readonly path: string;
    /** Names and values in turn. */
    readonly headers: readonly string[];
    readonly body: Buffer | AsyncIterable<Uint8Array> | undefined;
    readonly requestId: string;
    readonly responseRules: ResponseRules;
    /** True when the answer must carry the id of its request. */
    readonly expectsRequestId: (head: ResponseHead) => boolean;
    /** Called when an answer carries the id of its request. */
    readonly onRequestIdReturned: () => void;
    /** Asked right before the request is written; a reason forbids it. */
    readonly checkBeforeWriting: () => FailureReason | undefined;
};

export type Attempt = {
    resume(): void;
    /** Closes the connection; the listener hears nothing more. */
    cancel(): void;
    /**
     * True once the request may have reached the backend server. No accessor property: V8 makes a hidden class for each
     * object literal that has one, in the old generation, which holds the whole request until the next full collection.
     */
    wasWritten(): boolean;
};

/** How the connection of an ended attempt may be used. */
export type ConnectionHandle = {
    release(): void;
    discard(): void;
};

/** Informational answers before the final one; a backend server that sends more never ends. */
const MAXIMUM_INFORMATIONAL_RESPONSES = 16;
/** Largest body of a refusal that is read so that its connection can be kept, in bytes. */
const MAXIMUM_REJECTION_BYTES = 64 * 1024;

const isFinal = (status: number) => status >= 200;

/** Only a length or chunked coding shows where an answer ends (RFC 9112, section 6.3). */
function isDelimited(method: string, head: ResponseHead): boolean {
    if (method === "HEAD" || head.status === 204 || head.status === 304) {
        return true;
    }
    return head.headers["content-length"] !== undefined || head.headers["transfer-encoding"] === "chunked";
}

const closesConnection = (head: ResponseHead) =>
    typeof head.headers.connection === "string" && /\bclose\b/i.test(head.headers.connection);

/**
 * Dispatches the request and tells the listener of its one end: `onEnd`, `onRefused` or `onFailure`.
 *
 * @param ownership Called once with the end of the use of the connection.
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
    let rejectionBytes = 0;

    const fail = (reason: FailureReason, message: string) => {
        if (!isEnded) {
            isEnded = true;
            connectionHandle.discard();
            listener.onFailure({ wasWritten, reason, message });
        }
    };
    const failInvalidResponse = (message: string) => {
        fail(FailureReason.BadResponse, message);
        controller?.abort(new Error(message));
    };

    const endRejected = (rejection: ResponseHead) => {
        isEnded = true;
        connectionHandle.discard();
        listener.onRejected(rejection);
    };

    const handler: Dispatcher.DispatchHandler = {
        onRequestStart: dispatchController => {
            if (wasWritten) {
                // The client must never send a request a second time by itself.
                dispatchController.abort(new Error("The request was already written once."));
                return;
            }
            controller = dispatchController;
            withheldReason = isEnded ? FailureReason.DeadlinePassed : request.checkBeforeWriting();
            if (withheldReason !== undefined) {
                dispatchController.abort(new Error("The request must not be written any more."));
                return;
            }
            wasWritten = true;
        },
        onResponseStart: (dispatchController, status, headers) => {
            if (isEnded) {
                return;
            }
            if (!isFinal(status)) {
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
            // Resuming gives an empty chunk; pausing on it again would never let the next bytes be read.
            if (isEnded || chunk.length === 0) {
                return;
            }
            if (isRejected && head !== undefined) {
                rejectionBytes += chunk.length;
                if (rejectionBytes > MAXIMUM_REJECTION_BYTES) {
                    endRejected(head);
                    dispatchController.abort(new Error("The body of the refusal is too long."));
                }
                return;
            }
            if (!listener.onData(chunk)) {
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
        resume: () => controller?.resume(),
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
