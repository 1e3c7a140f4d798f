/**
 * Status of the revision in force, and the conditions of a resource that are derived from it.
 *
 * A revision is in force when no entry serves requests with an older one.
 */
import { z } from "zod";
import { type Condition, ConditionStatus, ConditionType } from "../operator-api/messages.js";

/** A change that waits longer than this for entries to apply it is stalled. */
export const STALLED_AFTER_MS = 2_000;

const leaseHolderSchema = z.object({
    entry: z.string(),
    /** Undefined when the entry has not reported to this leader. */
    appliedRevision: z.number().optional(),
    /** Time until its lease has ended, in milliseconds. */
    leaseMilliseconds: z.number(),
});

const drainSummarySchema = z.object({
    name: z.string(),
    isDrained: z.boolean(),
    reason: z.string(),
    message: z.string(),
});

/** What the leader reports about the revision in force. Operators read it as JSON. */
export const inForceStatusSchema = z.object({
    leader: z.string(),
    term: z.number(),
    /** Every entry serves requests with this revision or a later one; 0 while a new leader does not know it yet. */
    revision: z.number(),
    /** Revision of the latest committed change. */
    configurationRevision: z.number(),
    /** Wall-clock times in milliseconds at which revisions came in force, in ascending order; only the latest ones. */
    advances: z.array(z.object({ revision: z.number(), at: z.number() })),
    /** Revisions up to this one came in force before the first of the advances, at times that are no longer known. */
    forgottenRevision: z.number(),
    /** How long changes have been waiting, in ascending order of revision; only the oldest are listed. */
    pending: z.array(z.object({ revision: z.number(), waitingMilliseconds: z.number() })),
    /** Entries that may hold a lease and have not applied the latest revision. */
    holders: z.array(leaseHolderSchema),
    /** Progress of the declared drains; absent when the leader does not report it. */
    drains: z.array(drainSummarySchema).optional(),
});
/** Status of the revision in force at the leader. */
export type InForceStatus = z.infer<typeof inForceStatusSchema>;
/** An entry that may hold a lease, and the revision that it has applied. */
export type LeaseHolder = z.infer<typeof leaseHolderSchema>;

const seconds = (milliseconds: number) => `${(milliseconds / 1_000).toFixed(1)} s`;

const describeLeaseHolder = ({ entry, appliedRevision, leaseMilliseconds }: LeaseHolder, revision: number) =>
    appliedRevision === undefined
        ? `Entry ${entry} has not reported to the new leader and may hold a lease for ${seconds(leaseMilliseconds)}.`
        : `Entry ${entry} has applied revision ${appliedRevision}, not ${revision}; `
            + `its lease ends in ${seconds(leaseMilliseconds)} unless it is renewed.`;

/**
 * Computes the conditions of a resource.
 *
 * @param revision Revision of the last change of the resource.
 * @param acceptedAt Wall-clock time of that change.
 * @param status Status from the leader; undefined when the leader was not queried.
 */
export function describeConditions(
    revision: number,
    acceptedAt: Date | undefined,
    status: InForceStatus | undefined,
): readonly Condition[] {
    const accepted: Condition = {
        type: ConditionType.Accepted,
        status: ConditionStatus.True,
        reason: "Committed",
        message: `Revision ${revision} is committed.`,
        lastTransitionTime: acceptedAt?.toISOString(),
    };
    return [accepted, ...describeInForceConditions(revision, acceptedAt, status)];
}

/** Computes the condition of a drain; empty when the leader was not queried or does not report the drain. */
export function describeDrainConditions(name: string, status: InForceStatus | undefined): readonly Condition[] {
    const summary = status?.drains?.find(drain => drain.name === name);
    return summary === undefined ? [] : [{
        type: ConditionType.Drained,
        status: summary.isDrained ? ConditionStatus.True : ConditionStatus.False,
        reason: summary.reason,
        message: summary.message,
    }];
}

function describeInForceConditions(
    revision: number,
    acceptedAt: Date | undefined,
    status: InForceStatus | undefined,
): readonly Condition[] {
    const inForce = { type: ConditionType.InForce };
    const stalled = { type: ConditionType.Stalled };
    if (status === undefined) {
        const unknown = {
            status: ConditionStatus.Unknown,
            reason: "NotAsked",
            message: "Only the leader knows; this answer did not ask it.",
        };
        return [{ ...inForce, ...unknown }, { ...stalled, ...unknown }];
    }
    if (status.revision >= revision) {
        const advance = revision <= status.forgottenRevision
            ? undefined
            : status.advances.find(candidate => candidate.revision >= revision);
        const lastTransitionTime = advance === undefined ? undefined : new Date(advance.at).toISOString();
        return [
            {
                ...inForce,
                status: ConditionStatus.True,
                reason: "AppliedByAllEntries",
                message: "No entry acts on an older revision.",
                lastTransitionTime,
            },
            {
                ...stalled,
                status: ConditionStatus.False,
                reason: "InForce",
                message: "Nothing holds the change up.",
                lastTransitionTime,
            },
        ];
    }
    const laggingHolders = status.holders.filter(holder => (holder.appliedRevision ?? 0) < revision);
    const message = laggingHolders.map(holder => describeLeaseHolder(holder, revision)).slice(0, 10).join(" ")
        || "The leader is collecting the reports of the entries.";
    const waiting = status.pending.findLast(candidate => candidate.revision <= revision)?.waitingMilliseconds ?? 0;
    const isStalled = waiting > STALLED_AFTER_MS;
    const lastTransitionTime = acceptedAt?.toISOString();
    return [
        {
            ...inForce,
            status: status.revision === 0 ? ConditionStatus.Unknown : ConditionStatus.False,
            reason: laggingHolders.some(holder => holder.appliedRevision === undefined)
                ? "EntryNotHeardByNewLeader"
                : "EntryOnOlderRevision",
            message,
            lastTransitionTime,
        },
        {
            ...stalled,
            status: isStalled ? ConditionStatus.True : ConditionStatus.False,
            reason: isStalled ? "EntryHoldsUpChange" : "Progressing",
            message: isStalled ? `The change has been waiting for ${seconds(waiting)}. ${message}` : message,
            lastTransitionTime,
        },
    ];
}
