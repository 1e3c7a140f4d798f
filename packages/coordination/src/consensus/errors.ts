/**
 * Errors of the operations of a replica.
 */

/**
 * This replica is not the leader, its lease is not valid, or a read barrier was not confirmed in time. A proposal was
 * definitely not appended.
 */
export class NotLeaderError extends Error {
    /**
     * @param step Operation that failed, such as `propose` or `readBarrier`.
     * @param leader Name of the leader, if this replica knows it.
     */
    public constructor(public readonly step: string, public readonly leader: string | undefined) {
        super(`This replica does not lead (step ${step}, leader ${leader ?? "unknown"}).`);
        this.name = "NotLeaderError";
    }
}

/**
 * The proposal was appended, but this replica lost leadership before the outcome was known. It may still be committed.
 */
export class OutcomeUnknownError extends Error {
    /**
     * @param step Step that was interrupted.
     * @param index Log index of the proposal.
     */
    public constructor(public readonly step: string, public readonly index: number) {
        super(`The outcome of the change at index ${index} is unknown (step ${step}).`);
        this.name = "OutcomeUnknownError";
    }
}

/** Too many proposals are pending, or the payload is too large. The proposal was definitely not appended. */
export class ProposalRefusedError extends Error {
    /**
     * @param step Operation that failed, such as `propose`.
     * @param message Which limit the proposal exceeds, as a full sentence.
     */
    public constructor(public readonly step: string, message: string) {
        super(message);
        this.name = "ProposalRefusedError";
    }
}

/** An invariant of the protocol was violated, for example because of a copied data folder. The replica stops. */
export class ConsensusViolationError extends Error {
    /** @param message Which invariant was violated, as a full sentence. */
    public constructor(message: string) {
        super(message);
        this.name = "ConsensusViolationError";
    }
}

/** A membership change is not possible now. The membership was not changed. */
export class MembershipError extends Error {
    /**
     * @param step Step of the change that failed.
     * @param peer Name of the member to add, promote or remove.
     * @param message Why the change is not possible, as a full sentence.
     */
    public constructor(public readonly step: string, public readonly peer: string, message: string) {
        super(message);
        this.name = "MembershipError";
    }
}
