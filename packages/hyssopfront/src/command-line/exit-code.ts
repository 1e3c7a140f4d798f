/** Exit codes of the hyssopfront command. */
export enum ExitCode {
    Success = 0,
    /** Invalid arguments, settings or files. */
    Usage = 1,
    /** The server rejected the request: the resource is invalid or unknown, or the operator is not authorized. */
    Rejected = 2,
    /** Another operator changed the resource first; the message names the revision. */
    Conflict = 3,
    /** No control or entry instance responded. */
    Unreachable = 4,
    /** The change was accepted, but was not in force on all entries within the given time. */
    NotInForce = 5,
}

/** A failure that the operator can act on. */
export class CommandError extends Error {
    override readonly name = "CommandError";

    /**
     * @param code Exit code of the process.
     * @param step What the command was doing.
     * @param peer Address of the server involved, or an empty string.
     * @param message Reason, as a full sentence.
     */
    constructor(readonly code: ExitCode, readonly step: string, readonly peer: string, message: string) {
        super(message);
    }
}
