/**
 * Messages of the operator API, and the interface of the backend that it calls.
 */
import { z } from "zod";
import type { ChangeCommand, CommandResponse } from "../resources/messages.js";
import { nameSchema, type Resource, ResourceKind } from "../resources/resource.js";

/** Types of conditions in the status of a resource. */
export enum ConditionType {
    Accepted = "Accepted",
    /** Every entry uses this revision or a later one, or can no longer use an older one. */
    InForce = "InForce",
    Stalled = "Stalled",
    Drained = "Drained",
}

/** Whether a condition holds. */
export enum ConditionStatus {
    True = "True",
    False = "False",
    Unknown = "Unknown",
}

/** One aspect of the status of a resource. */
export type Condition = {
    readonly type: ConditionType;
    readonly status: ConditionStatus;
    readonly reason: string;
    readonly message: string;
    /** ISO 8601; absent when unknown to this instance. */
    readonly lastTransitionTime?: string;
};

/** A resource as operators read it. */
export type ResourceWithStatus = Resource & { readonly status: { readonly conditions: readonly Condition[] } };

/** Resources at one revision. */
export type ReadResponse = {
    /** Revision that the response covers; a watch can start from it. */
    readonly revision: number;
    readonly items: readonly ResourceWithStatus[];
};

/** A change, sent as one line of a watch. */
export type WatchEvent = {
    readonly type: "put" | "delete";
    readonly revision: number;
    readonly kind: string;
    readonly name: string;
    readonly resource?: unknown;
};

/** Changes up to `revision`, or the oldest revision that a watch can start from. */
export type WatchBatch =
    | { readonly isTooOld: false; readonly revision: number; readonly events: readonly WatchEvent[] }
    | { readonly isTooOld: true; readonly oldestRevision: number };

/** Operations that the API calls. All may reject with NoLeaderError; `propose` also with ChangeOutcomeUnknownError. */
export type OperatorApiBackend = {
    propose(command: ChangeCommand): Promise<CommandResponse>;
    /**
     * Reads one resource, or all resources of a kind.
     *
     * @param isFresh True for a linearizable read, which covers all changes acknowledged before the call. Otherwise
     * reads the state of this instance, which may be older.
     */
    read(kind: ResourceKind, name: string | undefined, isFresh: boolean): Promise<ReadResponse>;
    /** Waits for changes after a revision, at most `waitMilliseconds`. */
    watch(afterRevision: number, waitMilliseconds: number, signal: AbortSignal): Promise<WatchBatch>;
    status(): Promise<Readonly<Record<string, unknown>>>;
    /** Removes the registration of an entry that has no session. Absent where there are no entries. */
    removeEntry?(name: string): Promise<CommandResponse>;
};

/** No leader is available, so the request had no effect. */
export class NoLeaderError extends Error {
    readonly step = "find leader";
    override readonly name = "NoLeaderError";

    constructor(message: string, readonly retryAfterSeconds = 1) {
        super(message);
    }
}

/** The change may or may not take effect; a retry with the same request id returns its outcome. */
export class ChangeOutcomeUnknownError extends Error {
    readonly step = "commit change";
    override readonly name = "ChangeOutcomeUnknownError";
}

/** Body of a put. The body of a get can be sent back unchanged; `generation` and `status` are ignored. */
export const putBodySchema = z.strictObject({
    kind: z.enum(ResourceKind).optional(),
    name: nameSchema.optional(),
    revision: z.int().nonnegative().optional(),
    generation: z.unknown().optional(),
    status: z.unknown().optional(),
    spec: z.record(z.string(), z.unknown()),
});
/** Validated body of a put. */
export type PutBody = z.infer<typeof putBodySchema>;
