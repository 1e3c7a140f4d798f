/**
 * Messages between entries and run-once groups, commands of the replicated log, and limits of records.
 */
import { z } from "zod";
import { nameSchema } from "../resources/resource.js";

/** Keys older than this are rejected. */
export const KEY_RETENTION_MS = 24 * 3_600_000;
/** Maximum difference assumed between the wall clocks of entries, group leaders and callers. */
export const CLOCK_TOLERANCE_MS = 5 * 60_000;
/**
 * Lifetime of a record. A key is accepted from 5 min before its own timestamp to 24 h after it, by clocks that differ
 * by up to 5 min. With another 5 min of margin, no key is accepted after its record has expired.
 */
export const RECORD_RETENTION_MS = KEY_RETENTION_MS + 3 * CLOCK_TOLERANCE_MS;
/** A record in progress counts as unknown this long after the deadline of its request. */
export const IN_PROGRESS_GRACE_MS = 10_000;
/** Maximum size of the body of a run-once request. */
export const MAXIMUM_RUN_ONCE_BODY_BYTES = 1_048_576;
/** Maximum total size of the headers and the body of a response that is stored for replay. */
export const MAXIMUM_STORED_RESPONSE_BYTES = 65_536;

/** Failure code of an instance that does not lead the group. The request was certainly not recorded. */
export const NOT_LEADER_CODE = "notLeader";

/** Result of beginning an attempt. */
export enum BeginResult {
    /** This attempt, and no other, may dispatch the request. */
    Started = "started",
    /** Another attempt with the key is in progress. */
    InProgress = "inProgress",
    /** An attempt with the key has completed; the reply contains its stored response. */
    Completed = "completed",
    /** An earlier attempt may have run. The request is never run again. */
    Unknown = "unknown",
    /** The key belongs to a request with another body. */
    BodyMismatch = "bodyMismatch",
    /** The key is older than 24 h by the clock of the group leader. */
    KeyTooOld = "keyTooOld",
    /** The timestamp of the key is more than 5 min in the future by the clock of the group leader. */
    KeyInFuture = "keyInFuture",
    /** The group has its maximum number of records. */
    Full = "full",
}

/** Outcome of an attempt, as its entry reports it to the group. */
export enum AttemptOutcomeKind {
    /** The response was read completely and is stored for replay. */
    Completed = "completed",
    /** The attempt certainly did not run. Its key is released, so that another attempt may start. */
    Rejected = "refused",
    /** The attempt may have run. The request is never run again. */
    Unknown = "unknown",
}

/** Response of a backend server that is stored for replay. `headers` may have several values by name. */
export const storedResponseSchema = z.object({
    status: z.int().min(200).max(599),
    headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
    body: z.instanceof(Uint8Array).refine(body => body.length <= MAXIMUM_STORED_RESPONSE_BYTES),
    backendServer: z.string().max(256),
});
export type StoredResponse = z.infer<typeof storedResponseSchema>;

const attemptIdShape = { tenant: nameSchema, service: nameSchema, key: z.uuidv7(), attempt: z.string().max(64) };

/** Begins an attempt; it becomes a command of the replicated log. */
export const beginRequestSchema = z.object({
    ...attemptIdShape,
    bodyHash: z.string().max(64),
    entry: nameSchema,
    incarnation: z.string().min(1).max(64),
    /** Time that remains until the deadline of the request. */
    deadlineMilliseconds: z.number().nonnegative().max(3_600_000),
});
export type BeginRequest = z.infer<typeof beginRequestSchema>;

/** Reply to a begin; `answer` is the stored response. */
export const beginReplySchema = z.discriminatedUnion("result", [
    z.object({ result: z.literal(BeginResult.Completed), answer: storedResponseSchema }),
    z.object({ result: z.enum(BeginResult).exclude(["Completed"]) }),
]);
export type BeginReply = z.infer<typeof beginReplySchema>;

/** Outcome of an attempt; `answer` is the response to store. */
export const attemptOutcomeSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal(AttemptOutcomeKind.Completed), answer: storedResponseSchema }),
    z.object({ kind: z.enum(AttemptOutcomeKind).exclude(["Completed"]) }),
]);
export type AttemptOutcome = z.infer<typeof attemptOutcomeSchema>;

/** Reports the outcome of an attempt; it becomes a command of the replicated log. */
export const finishRequestSchema = z.object({ ...attemptIdShape, outcome: attemptOutcomeSchema });
export type FinishRequest = z.infer<typeof finishRequestSchema>;

/** Waits until another attempt finds the key in progress. Nothing is recorded. */
export const awaitContentionRequestSchema = z.object({
    ...attemptIdShape,
    waitMilliseconds: z.number().nonnegative().max(60_000),
});
export type AwaitContentionRequest = z.infer<typeof awaitContentionRequestSchema>;

/** Reply to the wait: whether another attempt found the key in progress before the wait ended. */
export const awaitContentionReplySchema = z.object({ isContended: z.boolean() });
export type AwaitContentionReply = z.infer<typeof awaitContentionReplySchema>;

/** Kinds of commands of the replicated log of a run-once group. */
export enum RunOnceCommandKind {
    Begin = "begin",
    Finish = "finish",
    /** An entry reports its new incarnation; its earlier processes have ended. */
    Incarnation = "incarnation",
}

/** Commands of the replicated log; `at` is the wall-clock time of the group leader in milliseconds. */
export const runOnceCommandSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal(RunOnceCommandKind.Begin), at: z.number(), ...beginRequestSchema.shape }),
    z.object({ kind: z.literal(RunOnceCommandKind.Finish), at: z.number(), ...finishRequestSchema.shape }),
    z.object({
        kind: z.literal(RunOnceCommandKind.Incarnation),
        at: z.number(),
        entry: nameSchema,
        incarnation: z.string().min(1).max(64),
    }),
]);
export type RunOnceCommand = z.infer<typeof runOnceCommandSchema>;
