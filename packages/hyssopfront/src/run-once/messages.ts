/**
 * Messages and limits of run-once records.
 */
import { z } from "zod";
import { nameSchema } from "../resources/resource.js";

/** Keys older than this are refused. */
export const KEY_RETENTION_MS = 24 * 3_600_000;
/** Largest assumed difference between the wall clocks of entries, group leaders and callers. */
export const CLOCK_TOLERANCE_MS = 5 * 60_000;
/**
 * Lifetime of a record. A key may be used from 5 min before its own time to 24 h after it, seen through clocks that
 * differ by up to 5 min; with 5 min to spare, no key outlives its record.
 */
export const RECORD_RETENTION_MS = KEY_RETENTION_MS + 3 * CLOCK_TOLERANCE_MS;
/** Time after the deadline of its request at which a record in progress counts as unknown. */
export const IN_PROGRESS_GRACE_MS = 10_000;
export const MAXIMUM_RUN_ONCE_BODY_BYTES = 1_048_576;
/** Largest body and headers of an answer that is stored for replay. */
export const MAXIMUM_STORED_RESPONSE_BYTES = 65_536;

export enum BeginResult {
    /** The attempt, and no other, may dispatch. */
    Started = "started",
    InProgress = "inProgress",
    Completed = "completed",
    /** An earlier attempt may have run; the request is never run again. */
    Unknown = "unknown",
    /** The key belongs to a request with another body. */
    BodyMismatch = "bodyMismatch",
    /** The key is older than 24 h by the clock of the group leader. */
    KeyTooOld = "keyTooOld",
    KeyInFuture = "keyInFuture",
    /** The group has no room for another record. */
    Full = "full",
}

export enum AttemptOutcomeKind {
    Completed = "completed",
    /** It is certain that the attempt did not run; the key becomes free. */
    Rejected = "refused",
    Unknown = "unknown",
}

export const storedResponseSchema = z.object({
    status: z.int().min(200).max(599),
    headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
    body: z.instanceof(Uint8Array).refine(body => body.length <= MAXIMUM_STORED_RESPONSE_BYTES),
    backendServer: z.string().max(256),
});
export type StoredResponse = z.infer<typeof storedResponseSchema>;

const attemptIdShape = { tenant: nameSchema, service: nameSchema, key: z.uuidv7(), attempt: z.string().max(64) };

export const beginRequestSchema = z.object({
    ...attemptIdShape,
    bodyHash: z.string().max(64),
    entry: nameSchema,
    incarnation: z.string().min(1).max(64),
    /** Time left until the deadline of the request. */
    deadlineMilliseconds: z.number().nonnegative().max(3_600_000),
});
export type BeginRequest = z.infer<typeof beginRequestSchema>;

export const beginReplySchema = z.discriminatedUnion("result", [
    z.object({ result: z.literal(BeginResult.Completed), answer: storedResponseSchema }),
    z.object({ result: z.enum(BeginResult).exclude(["Completed"]) }),
]);
export type BeginReply = z.infer<typeof beginReplySchema>;

export const attemptOutcomeSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal(AttemptOutcomeKind.Completed), answer: storedResponseSchema }),
    z.object({ kind: z.enum(AttemptOutcomeKind).exclude(["Completed"]) }),
]);
export type AttemptOutcome = z.infer<typeof attemptOutcomeSchema>;

export const finishRequestSchema = z.object({ ...attemptIdShape, outcome: attemptOutcomeSchema });
export type FinishRequest = z.infer<typeof finishRequestSchema>;

/** Asks to be told when another attempt finds the key in progress; nothing is recorded. */
export const awaitContentionRequestSchema = z.object({
    ...attemptIdShape,
    waitMilliseconds: z.number().nonnegative().max(60_000),
});
export type AwaitContentionRequest = z.infer<typeof awaitContentionRequestSchema>;

export const awaitContentionReplySchema = z.object({ isContended: z.boolean() });
export type AwaitContentionReply = z.infer<typeof awaitContentionReplySchema>;

export enum RunOnceCommandKind {
    Begin = "begin",
    Finish = "finish",
    /** An entry reported a new incarnation. */
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
