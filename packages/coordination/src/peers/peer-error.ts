/**
 * Errors of peer connections.
 */

/** What was being done when a peer connection or a call failed. */
export enum PeerStep {
    Connect = "connect",
    Handshake = "handshake",
    /** Before any byte of the request was handed to the connection. */
    Send = "send",
    /** After the request may have been sent and before its reply arrived. */
    Reply = "reply",
    /** Reading from an established connection. */
    Receive = "receive",
}

/** Codes of failures that this package sends itself; a handler may send others through PeerRequestError. */
export enum PeerFailureCode {
    /** The handler rejected with another error. */
    Failed = "failed",
    /** The receiver knows no such kind of request; the request was not run. */
    UnknownKind = "unknownKind",
    /** The receiver runs as many requests as it accepts; the request was not run. */
    Overloaded = "overloaded",
    /** The handler did not finish within the deadline of the caller. */
    DeadlineExceeded = "deadlineExceeded",
    /** The reply could not be encoded in one frame. */
    ReplyRefused = "replyRefused",
    /** The identity in the handshake does not match. */
    HandshakeRefused = "handshakeRefused",
}

const NOT_RUN_CODES: ReadonlySet<string> = new Set([
    PeerFailureCode.UnknownKind,
    PeerFailureCode.Overloaded,
]);

/** A connection or a call that failed. */
export class PeerError extends Error {
    override readonly name = "PeerError";
    readonly step: PeerStep;
    /** Name of the peer, or its address while the name is unknown. */
    readonly peer: string;
    /** True when no byte of the request was handed to the connection. */
    readonly isCertainlyNotSent: boolean;
    /** Code of the failure that the peer sent, if it sent one. */
    readonly code: string | undefined;

    constructor(details: {
        step: PeerStep;
        peer: string;
        message: string;
        isCertainlyNotSent?: boolean;
        code?: string;
        cause?: unknown;
    }) {
        super(`Peer ${details.peer}, step ${details.step}: ${details.message}`, { cause: details.cause });
        this.step = details.step;
        this.peer = details.peer;
        this.isCertainlyNotSent = details.isCertainlyNotSent ?? false;
        this.code = details.code;
    }

    /** True when the request was not sent, or the peer refused it before its handler started. */
    get isCertainlyNotRun(): boolean {
        return this.isCertainlyNotSent || (this.code !== undefined && NOT_RUN_CODES.has(this.code));
    }
}

/** Thrown by a handler to send a failure with a code of its own. */
export class PeerRequestError extends Error {
    override readonly name = "PeerRequestError";

    constructor(readonly code: string, message: string) {
        super(message);
    }
}
