/**
 * Messages of the sessions between entries and control instances, and the kinds of requests on peer connections.
 */
import { z } from "zod";
import { BudgetUnit } from "../admission/admission.js";
import { DrainPhase } from "../drains/drain-phase.js";
import { nameSchema } from "../resources/resource.js";

/** Kinds of requests on peer connections, which connect the processes of the system with each other. */
export enum PeerRequestKind {
    /** Consensus messages of one replica group, together with the id of the group. */
    Consensus = "consensus",
    /** Forwards a configuration change from a control instance to the leader. */
    Propose = "control.propose",
    /** Requests the leader's committed revision, so that a follower can serve a linearizable read. */
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

/**
 * Time for which a renewed session allows its entry to use its configuration view and its quotas, in milliseconds. It
 * starts when the entry sends the renewal.
 */
export const SESSION_LEASE_MS = 5_000;
/** Interval at which an entry renews its session, in milliseconds. */
export const SESSION_RENEWAL_INTERVAL_MS = 500;

/** Role that a process reports in the handshake of a peer connection. */
export enum PeerRole {
    Control = "control",
    Entry = "entry",
}

/** Demand of an entry for units of one budget, and the quota that it holds. */
export const quotaDemandSchema = z.object({
    key: z.string().max(256),
    unit: z.enum(BudgetUnit),
    /** Units that the entry could use now, including those in use. */
    wanted: z.number().nonnegative(),
    /**
     * Units that an idle entry reserves for its next request. They are granted only while no entry has demand for them.
     */
    standby: z.number().nonnegative().optional(),
    /** Units that must be counted for the entry: its quota, or its usage in the last window when that is larger. */
    held: z.number().nonnegative(),
    /**
     * Quota of the entry now, including its floor. A new leader extends only this, even if the recent usage was larger.
     */
    portion: z.number().nonnegative().optional(),
    /** Part of `portion` that does not expire with the lease. */
    floor: z.number().nonnegative().optional(),
    /** Availability zone of the backend server. Only present for budgets of backend servers. */
    availabilityZone: nameSchema.optional(),
});
export type QuotaDemand = z.infer<typeof quotaDemandSchema>;

/** Quota of one budget that the quota allocator grants to an entry. */
export const quotaGrantSchema = z.object({
    key: z.string().max(256),
    /** Granted quota, including the floor. */
    portion: z.number().nonnegative(),
    /** Part of `portion` that does not expire with the lease. */
    floor: z.number().nonnegative().optional(),
    /**
     * Limit of the budget for which the quota was computed. An entry that knows a lower limit scales the quota down.
     * Without a limit, the grant only extends the lease of the quota that the entry already holds, up to `portion`.
     */
    limit: z.number().nonnegative().optional(),
});
export type QuotaGrant = z.infer<typeof quotaGrantSchema>;

/** State of one declared drain on an entry. */
export const drainReportSchema = z.object({
    name: nameSchema,
    phase: z.enum(DrainPhase),
    /** Share of the load that the entry no longer sends to the target, from 0 to 1. */
    share: z.number().min(0).max(1),
    /** Reason why the drain is rejected or paused. */
    reason: z.string().max(1_024).optional(),
    isOverdue: z.boolean(),
});
export type DrainReport = z.infer<typeof drainReportSchema>;

/** Number of requests that an entry has in flight on one backend server that is being drained. */
export const inFlightOnBackendServerSchema = z.object({
    service: nameSchema,
    name: nameSchema,
    availabilityZone: nameSchema,
    inFlight: z.int().nonnegative(),
});
export type InFlightOnBackendServer = z.infer<typeof inFlightOnBackendServerSchema>;

/** Registration of an entry and its state, which it sends with each renewal. */
export const renewSessionRequestSchema = z.object({
    entry: nameSchema,
    incarnation: z.string().max(64),
    address: z.string(),
    callerPort: z.int(),
    peerPort: z.int(),
    availabilityZone: nameSchema,
    isLeaving: z.boolean(),
    appliedRevision: z.int().nonnegative(),
    /**
     * Time on the entry's monotonic clock, in milliseconds. It orders the renewals of one incarnation, so that delayed
     * ones are ignored.
     */
    sentAt: z.number().nonnegative().optional(),
    demands: z.array(quotaDemandSchema).max(100_000),
    /** Absent while no drain is declared. */
    drains: z.array(drainReportSchema).max(10_000).optional(),
    inFlightOnDrained: z.array(inFlightOnBackendServerSchema).max(100_000).optional(),
});
export type RenewSessionRequest = z.infer<typeof renewSessionRequestSchema>;

/** Result of a session renewal. */
export enum RenewSessionResult {
    Renewed = "renewed",
    /** The control instance is not the leader. The reply names the leader if it is known. */
    NotLeader = "notLeader",
    /** Another incarnation, at another address, holds a session with the same entry name. */
    NameInUse = "nameInUse",
    /**
     * The leader already reported a later revision as in force. The entry gets a lease once it has applied that one.
     * Also sent while the registration of the entry is not committed.
     */
    Behind = "behind",
}

export const renewSessionReplySchema = z.discriminatedUnion("result", [
    z.object({
        result: z.literal(RenewSessionResult.Renewed),
        leaseMilliseconds: z.number().positive(),
        /** Latest committed revision, by which the entry knows whether its configuration is current. */
        revision: z.int().nonnegative(),
        grants: z.array(quotaGrantSchema),
    }),
    z.object({ result: z.literal(RenewSessionResult.NotLeader), leader: z.string().optional() }),
    z.object({ result: z.literal(RenewSessionResult.NameInUse), message: z.string() }),
    z.object({ result: z.literal(RenewSessionResult.Behind), revision: z.int().nonnegative() }),
]);
export type RenewSessionReply = z.infer<typeof renewSessionReplySchema>;

/**
 * Sent by an entry at the end of a graceful stop, when it serves no more requests. Its registration is then removed.
 */
export const endSessionRequestSchema = z.object({ entry: nameSchema, incarnation: z.string().max(64) });
export type EndSessionRequest = z.infer<typeof endSessionRequestSchema>;

/** Result of the end of a session. */
export enum EndSessionResult {
    Ended = "ended",
    NotLeader = "notLeader",
}

export const endSessionReplySchema = z.object({
    result: z.enum(EndSessionResult),
    leader: z.string().optional(),
});
export type EndSessionReply = z.infer<typeof endSessionReplySchema>;
