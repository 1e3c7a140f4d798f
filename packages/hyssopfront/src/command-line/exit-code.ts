/** Exit codes of the hyssopfront command. */
export enum ExitCode {
    Success = 0,
    /** Wrong arguments, or settings or files that cannot be used. */
    Usage = 1,
    /** The request was understood and refused: invalid object, unknown object, not authorized. */
    Rejected = 2,
    /** Another change came first; the message names it. */
    Conflict = 3,
    /** No control or entry instance answered. */
    Unreachable = 4,
    /** The change was accepted, and was not in force within the time given. */
    NotInForce = 5,
}

/** A command failed in a way that the operator can act upon. */
export class CommandError extends Error {
    override readonly name = "CommandError";

    /**
     * @param operation What the command was doing.
     * @param server Address that was asked, or an empty string.
     */
    constructor(readonly code: ExitCode, readonly operation: string, readonly server: string, message: string) {
        super(message);
    }
}
