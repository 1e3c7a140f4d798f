/**
 * What the operators' API serves, and the back end that it asks.
 */
import { z } from "zod";
import type { ChangeCommand, CommandResponse } from "../resources/messages.js";
import { nameSchema, type Resource, ResourceKind } from "../resources/resource.js";

export enum ConditionType {
    Accepted = "Accepted",
    /** Every entry acts on this revision or on a later one, or cannot act on an older one. */
    InForce = "InForce",
    Stalled = "Stalled",
    Drained = "Drained",
}

export enum ConditionStatus {
    True = "True",
    False = "False",
    Unknown = "Unknown",
}

export type Condition = {
    readonly type: ConditionType;
    readonly status: ConditionStatus;
    readonly reason: string;
    readonly message: string;
    /** ISO 8601; absent when this instance does not know it. */
    readonly lastTransitionTime?: string;
};

export type ResourceWithStatus = Resource & { readonly status: { readonly conditions: readonly Condition[] } };

export type ReadResponse = {
    /** Revision that the answer covers; a watch resumes from it. */
    readonly revision: number;
    readonly items: readonly ResourceWithStatus[];
};

/** One line of a watch. */
export type WatchEvent = {
    readonly type: "put" | "delete";
    readonly revision: number;
    readonly kind: string;
    readonly name: string;
    readonly resource?: unknown;
};

export type WatchBatch =
    | { readonly isTooOld: false; readonly revision: number; readonly events: readonly WatchEvent[] }
    | { readonly isTooOld: true; readonly oldestRevision: number };

/** Functions behind the API. All may reject with NoLeaderError; `propose` also with ChangeOutcomeUnknownError. */
export type OperatorApiBackend = {
    propose(command: ChangeCommand): Promise<CommandResponse>;
    /**
     * Reads one object, or all of a kind.
     *
     * @param isFresh Covers all that was acknowledged before the call; otherwise answers from this instance.
     */
    read(kind: ResourceKind, name: string | undefined, isFresh: boolean): Promise<ReadResponse>;
    /** Waits for changes after a revision, at most for the given time. */
    watch(afterRevision: number, waitMilliseconds: number, signal: AbortSignal): Promise<WatchBatch>;
    status(): Promise<Readonly<Record<string, unknown>>>;
    /** Forgets an entry that holds no session. Absent where there are no entries. */
    removeEntry?(name: string): Promise<CommandResponse>;
};

/** There is no leader to ask, so the request had no effect. */
export class NoLeaderError extends Error {
    readonly step = "find leader";
    override readonly name = "NoLeaderError";

    constructor(message: string, readonly retryAfterSeconds = 1) {
        super(message);
    }
}

/** The change may take effect or not; a resend with the same request id tells. */
export class ChangeOutcomeUnknownError extends Error {
    readonly step = "commit change";
    override readonly name = "ChangeOutcomeUnknownError";
}

/** Body of a put. What a get returned can be sent back; `generation` and `status` are ignored. */
export const putBodySchema = z.strictObject({
    kind: z.enum(ResourceKind).optional(),
    name: nameSchema.optional(),
    revision: z.int().nonnegative().optional(),
    generation: z.unknown().optional(),
    status: z.unknown().optional(),
    spec: z.record(z.string(), z.unknown()),
});
export type PutBody = z.infer<typeof putBodySchema>;
