/**
 * History of a run of the whole system, as callers, backend servers, operators and observers saw it. All times are
 * milliseconds of `performance.now()` of the one process that recorded them.
 */

/** One attempt of a request and what its caller was told. */
export type AttemptRecord = {
    /** Identifies the attempt; sent as `test-request-id`, so that a backend server records it. */
    readonly id: string;
    /** Identifies the request that the attempt belongs to; resends share it. */
    readonly request: string;
    readonly service: string;
    readonly key: string | undefined;
    readonly sentAt: number;
    readonly completedAt: number;
    /** Undefined when no whole answer came. */
    readonly status: number | undefined;
    readonly outcome: string | undefined;
    readonly reason: string | undefined;
    readonly entry: string | undefined;
    readonly backendServer: string | undefined;
    readonly body: string;
    /** Bytes that the caller asked the backend server for; 0 leaves the size to it. */
    readonly answerBytes: number;
    readonly error: string | undefined;
};

/** One request that a backend server ran, or began to run. */
export type ExecutionRecord = {
    readonly id: string;
    readonly key: string | undefined;
    readonly service: string;
    readonly backendServer: string;
    readonly availabilityZone: string;
    readonly startedAt: number;
};

/** A backend server that left. */
export type DepartureRecord = {
    readonly service: string;
    readonly backendServer: string;
    /** When the leaving announcement was received, or when its drain was in force and its pace had passed. */
    readonly leftAt: number;
};

/** A shift whose cap held during the whole history. */
export type CapRecord = {
    readonly shift: string;
    readonly service: string;
    /** Entries whose requests the shift moves. */
    readonly entries: readonly string[];
    /** Availability zones that the shift moves requests to. */
    readonly availabilityZones: readonly string[];
    readonly requestsPerSecond: number;
};

/** One send of a change by an operator. */
export type ChangeRecord = {
    readonly requestId: string;
    /** Path segment of the kind and name, such as `regions/hame`. */
    readonly object: string;
    readonly expectedRevision: number;
    /** Undefined for a delete. */
    readonly spec: unknown;
    readonly instance: string;
    readonly sentAt: number;
    readonly respondedAt: number;
    /** Undefined when no answer came. */
    readonly status: number | undefined;
    /** Revision of an acknowledged change. */
    readonly revision: number | undefined;
};

/** One fresh read that was answered. */
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

/** State of an entry as its admin address told it. */
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
