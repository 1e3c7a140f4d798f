/**
 * Messages between entries and control instances, and the kinds of request on peer connections.
 */
import { z } from "zod";
import { BudgetUnit } from "../admission/admission.js";
import { DrainPhase } from "../drains/drain-phase.js";
import { nameSchema } from "../resources/resource.js";

/** Kinds of request on peer connections between the system's own processes. */
export enum PeerRequestKind {
    /** Consensus messages of one replica group, wrapped with the group id. */
    Consensus = "consensus",
    /** A change passed on by a control instance to the leader. */
    Propose = "control.propose",
    /** Asks the leader for its commit revision, for a fresh read on a follower. */
    ReadBarrier = "control.read-barrier",
    RenewSession = "session.renew",
    EndSession = "session.end",
    ReadConfiguration = "configuration.read",
    PullAnnouncements = "announcements.pull",
    BeginRunOnce = "run-once.begin",
    FinishRunOnce = "run-once.finish",
    ReportIncarnation = "run-once.report-incarnation",
    AwaitContention = "run-once.await-contention",
}

/** Time for which a renewed session allows its entry to act on its view and portions, counted from the sent renewal. */
export const SESSION_LEASE_MS = 5_000;
export const SESSION_RENEWAL_INTERVAL_MS = 500;

/** Role in the handshake of peer connections. */
export enum PeerRole {
    Control = "control",
    Entry = "entry",
}

export const quotaDemandSchema = z.object({
    key: z.string().max(256),
    unit: z.enum(BudgetUnit),
    /** Units that the entry could use now. */
    wanted: z.number().nonnegative(),
    /** Units that an idle entry keeps ready for its next request while no entry wants them. */
    standby: z.number().nonnegative().optional(),
    /** Units that the entry must still be counted for: its portion, or its use in the last window if that is more. */
    held: z.number().nonnegative(),
    /** Units that the entry may use now; a new leader renews these, whatever was used in the last window. */
    portion: z.number().nonnegative().optional(),
    /** Part of `portion` that does not end with the lease. */
    floor: z.number().nonnegative().optional(),
    /** Availability zone of the backend server, for budgets of backend servers. */
    availabilityZone: nameSchema.optional(),
});
export type QuotaDemand = z.infer<typeof quotaDemandSchema>;

export const quotaGrantSchema = z.object({
    key: z.string().max(256),
    /** Units that the entry may use in all, its floor included. */
    portion: z.number().nonnegative(),
    /** Part of `portion` that does not end with the lease. */
    floor: z.number().nonnegative().optional(),
    /**
     * Limit that the portion was cut from; an entry that knows a lower one scales the portion down. Without it the
     * grant only prolongs the lease of what the entry holds, up to `portion`.
     */
    limit: z.number().nonnegative().optional(),
});
export type QuotaGrant = z.infer<typeof quotaGrantSchema>;

/** What an entry does for one declared drain. */
export const drainReportSchema = z.object({
    name: nameSchema,
    phase: z.enum(DrainPhase),
    /** Part of the load that goes elsewhere, 0 to 1. */
    share: z.number().min(0).max(1),
    /** Why the drain is refused or paused. */
    reason: z.string().max(1_024).optional(),
    isOverdue: z.boolean(),
});
export type DrainReport = z.infer<typeof drainReportSchema>;

/** Requests that an entry has in flight on one backend server that is drained. */
export const inFlightReportSchema = z.object({
    service: nameSchema,
    name: nameSchema,
    availabilityZone: nameSchema,
    inFlight: z.int().nonnegative(),
});
export type InFlightOnBackendServer = z.infer<typeof inFlightReportSchema>;

export const renewSessionRequestSchema = z.object({
    entry: nameSchema,
    incarnation: z.string().max(64),
    address: z.string(),
    callerPort: z.int(),
    peerPort: z.int(),
    availabilityZone: nameSchema,
    isLeaving: z.boolean(),
    appliedRevision: z.int().nonnegative(),
    /** Monotonic milliseconds of the entry; orders the renewals of one incarnation, so that late ones are ignored. */
    sentAt: z.number().nonnegative().optional(),
    demands: z.array(quotaDemandSchema).max(100_000),
    /** Absent while no drain is declared. */
    drains: z.array(drainReportSchema).max(10_000).optional(),
    inFlightOnDrained: z.array(inFlightReportSchema).max(100_000).optional(),
});
export type RenewSessionRequest = z.infer<typeof renewSessionRequestSchema>;

export enum RenewSessionResult {
    Renewed = "renewed",
    NotLeader = "notLeader",
    /** Another incarnation at another address holds a session under this name. */
    NameInUse = "nameInUse",
    /** A later revision was reported in force; the entry gets a lease once it has applied that one. */
    Behind = "behind",
}

export const renewSessionReplySchema = z.discriminatedUnion("result", [
    z.object({
        result: z.literal(RenewSessionResult.Renewed),
        leaseMilliseconds: z.number().positive(),
        /** Latest committed revision, so that the entry can tell how far behind it is. */
        revision: z.int().nonnegative(),
        grants: z.array(quotaGrantSchema),
    }),
    z.object({ result: z.literal(RenewSessionResult.NotLeader), leader: z.string().optional() }),
    z.object({ result: z.literal(RenewSessionResult.NameInUse), message: z.string() }),
    z.object({ result: z.literal(RenewSessionResult.Behind), revision: z.int().nonnegative() }),
]);
export type RenewSessionReply = z.infer<typeof renewSessionReplySchema>;

/** Sent by an entry after its graceful stop, when it acts on nothing any more; its registration is removed. */
export const endSessionRequestSchema = z.object({ entry: nameSchema, incarnation: z.string().max(64) });
export type EndSessionRequest = z.infer<typeof endSessionRequestSchema>;

export enum EndSessionResult {
    Ended = "ended",
    NotLeader = "notLeader",
}

export const endSessionReplySchema = z.object({
    result: z.enum(EndSessionResult),
    leader: z.string().optional(),
});
export type EndSessionReply = z.infer<typeof endSessionReplySchema>;
