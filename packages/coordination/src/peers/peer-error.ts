/**
 * Errors of peer connections.
 */

/** Step at which a peer connection or a call failed. */
export enum PeerStep {
    Connect = "connect",
    Handshake = "handshake",
    /** Before any byte of the request was written to the connection. */
    Send = "send",
    /** After the request may have been sent and before its reply arrived. */
    Reply = "reply",
    /** Reading from an established connection. */
    Receive = "receive",
}

/** Failure codes that this package sends. A handler may send others by throwing a PeerRequestError. */
export enum PeerFailureCode {
    /** The handler threw an error other than PeerRequestError. */
    Failed = "failed",
    /** The receiver does not know this kind of request. The request was not run. */
    UnknownKind = "unknownKind",
    /** The receiver has reached its limit of running requests. The request was not run. */
    Overloaded = "overloaded",
    /** The handler did not finish within the deadline of the caller. */
    DeadlineExceeded = "deadlineExceeded",
    /** The reply could not be encoded in one frame. */
    ReplyRefused = "replyRefused",
    /** The protocol version, cluster or name in the handshake does not match. */
    HandshakeRefused = "handshakeRefused",
}

const NOT_RUN_CODES: ReadonlySet<string> = new Set([
    PeerFailureCode.UnknownKind,
    PeerFailureCode.Overloaded,
]);

/** Failure of a connection or of a call. */
export class PeerError extends Error {
    override readonly name = "PeerError";
    readonly step: PeerStep;
    /** Name of the peer, or its address if the name is not known yet. */
    readonly peer: string;
    /** True when no byte of the request was written to the connection. */
    readonly isCertainlyNotSent: boolean;
    /** Code of the failure frame that the peer sent, if it sent one. */
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

    /** True when the request was not sent, or the peer rejected it before its handler started. */
    get isCertainlyNotRun(): boolean {
        return this.isCertainlyNotSent || (this.code !== undefined && NOT_RUN_CODES.has(this.code));
    }
}

/** Thrown by a handler to send the caller a failure with a specific code. */
export class PeerRequestError extends Error {
    override readonly name = "PeerRequestError";

    /**
     * @param code Code that the caller finds in its PeerError, at most 256 characters.
     * @param message Why the request failed, as a full sentence.
     */
    constructor(readonly code: string, message: string) {
        super(message);
    }
}
