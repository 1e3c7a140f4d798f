/**
 * History of a run of the whole system, as callers, backend servers, operators and observers saw it. All times are in
 * milliseconds and were read from `performance.now()` of one process.
 */

/** One attempt of a request and the response that its caller received. */
export type AttemptRecord = {
    /** Identifies the attempt; sent as `test-request-id`, so that a backend server records it. */
    readonly id: string;
    /** Identifies the request that the attempt belongs to; all attempts of a request share it. */
    readonly request: string;
    readonly service: string;
    readonly key: string | undefined;
    readonly sentAt: number;
    readonly completedAt: number;
    /** Undefined when no complete response was received. */
    readonly status: number | undefined;
    readonly outcome: string | undefined;
    readonly reason: string | undefined;
    readonly entry: string | undefined;
    readonly backendServer: string | undefined;
    readonly body: string;
    /** Response size that the caller requested from the backend server, in bytes; 0 if it requested none. */
    readonly expectedBytes: number;
    readonly error: string | undefined;
};

/** One request that a backend server started to run. */
export type ExecutionRecord = {
    readonly id: string;
    readonly key: string | undefined;
    readonly service: string;
    readonly backendServer: string;
    readonly availabilityZone: string;
    readonly startedAt: number;
};

/** A backend server that left or was drained. */
export type DepartureRecord = {
    readonly service: string;
    readonly backendServer: string;
    /** Time at which the leaving announcement was received, or at which its drain had been in force for its pace. */
    readonly leftAt: number;
};

/** A shift whose cap was in force during the whole history. */
export type CapRecord = {
    readonly shift: string;
    readonly service: string;
    /** Entries whose requests the shift moves. */
    readonly entries: readonly string[];
    /** Availability zones that the shift moves requests to. */
    readonly availabilityZones: readonly string[];
    readonly requestsPerSecond: number;
};

/** One attempt of an operator to apply a change. */
export type ChangeRecord = {
    readonly requestId: string;
    /** Kind and name as in the path, such as `regions/hame`. */
    readonly object: string;
    readonly expectedRevision: number;
    /** Undefined for a delete. */
    readonly spec: unknown;
    readonly instance: string;
    readonly sentAt: number;
    readonly respondedAt: number;
    /** Undefined when no response was received. */
    readonly status: number | undefined;
    /** Revision of an acknowledged change. */
    readonly revision: number | undefined;
};

/** One fresh read that received a response. */
export type ReadRecord = {
    readonly object: string;
    readonly instance: string;
    readonly sentAt: number;
    readonly respondedAt: number;
    /** 0 when the object does not exist. */
    readonly revision: number;
    readonly spec: unknown;
    readonly isInForce: boolean;
};

/** State of an entry as reported at its admin address. */
export type EntryRecord = {
    readonly entry: string;
    readonly sentAt: number;
    readonly revision: number;
    readonly holdsViewLease: boolean;
};

export type History = {
    readonly attempts: readonly AttemptRecord[];
    readonly runs: readonly ExecutionRecord[];
    readonly departures: readonly DepartureRecord[];
    readonly caps: readonly CapRecord[];
    readonly changes: readonly ChangeRecord[];
    readonly reads: readonly ReadRecord[];
    readonly entries: readonly EntryRecord[];
};

export enum ViolationKind {
    RanTwice = "ranTwice",
    NotRunButRan = "notRunButRan",
    ResponseWithoutOutcome = "answerWithoutOutcome",
    ResponseOfOtherRequest = "foreignAnswer",
    TruncatedResponse = "shortAnswer",
    CapExceeded = "overCap",
    WorkAfterLeaving = "workAfterLeaving",
    ChangeMissing = "changeMissing",
    ChangeReverted = "changeReverted",
    ChangeAppliedTwice = "changeAppliedTwice",
    ConflictingChanges = "twoWinners",
    StaleRead = "staleRead",
    InForceTooEarly = "inForceTooEarly",
    EntryRevisionDecreased = "entryWentBack",
}

export type Violation = { readonly kind: ViolationKind; readonly message: string };
