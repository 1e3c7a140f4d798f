/**
 * Messages between control instances, except for those of the consensus protocol.
 */
import { z } from "zod";
import { changeCommandSchema, type CommandResponse } from "../resources/messages.js";
import { nameSchema } from "../resources/resource.js";
import { inForceStatusSchema } from "./in-force.js";

/** A change requested by an operator, or the removal of an entry that holds no lease. */
export const proposeRequestSchema = z.union([
    z.object({ command: changeCommandSchema }),
    z.object({ removeEntry: nameSchema }),
]);
/** Request to the leader to commit a change. */
export type ProposeRequest = z.infer<typeof proposeRequestSchema>;

/** What became of a proposal. */
export enum ProposeOutcome {
    /** The reply contains the final result, such as a committed change or a conflict. */
    Completed = "answered",
    /** Not appended to the log, because the instance does not lead. */
    NotLeader = "notLeader",
    /** Not appended to the log, because the leader has too many pending proposals or the payload is too large. */
    Rejected = "refused",
    /** The proposal may commit later or not at all. */
    Unknown = "unknown",
}

/** Reply to a proposal; `answer` is the response to the command. */
export const proposeReplySchema = z.discriminatedUnion("outcome", [
    z.object({
        outcome: z.literal(ProposeOutcome.Completed),
        answer: z.custom<CommandResponse>(value => typeof (value as CommandResponse | undefined)?.result === "string"),
    }),
    z.object({ outcome: z.literal(ProposeOutcome.NotLeader), leader: z.string().optional() }),
    z.object({ outcome: z.literal(ProposeOutcome.Rejected), message: z.string() }),
    z.object({ outcome: z.literal(ProposeOutcome.Unknown), message: z.string() }),
]);
/** Reply of the leader to a proposal. */
export type ProposeReply = z.infer<typeof proposeReplySchema>;

/** Status of the revision in force; absent when the receiver does not lead. */
export const readBarrierReplySchema = z.object({ inForce: inForceStatusSchema.optional() });
/** Reply of the leader to a read barrier. */
export type ReadBarrierReply = z.infer<typeof readBarrierReplySchema>;
