/**
 * What is known of the revision in force, and the conditions of an object that follow from it.
 */
import { z } from "zod";
import { type Condition, ConditionStatus, ConditionType } from "../operator-api/messages.js";

/** An entry that holds a change up for longer than this makes the change stalled. */
export const STALLED_AFTER_MS = 2_000;

/** An entry that may still act on a revision before the latest one. */
const leaseHolderSchema = z.object({
    entry: z.string(),
    /** Undefined when the entry has not reported to this leader. */
    appliedRevision: z.number().optional(),
    /** Time until its lease has ended. */
    leaseMilliseconds: z.number(),
});

const drainSummarySchema = z.object({
    name: z.string(),
    isDrained: z.boolean(),
    reason: z.string(),
    message: z.string(),
});

export const inForceStatusSchema = z.object({
    leader: z.string(),
    term: z.number(),
    /** Every entry acts on this revision or a later one; 0 while a new leader does not know. */
    revision: z.number(),
    /** Latest committed change. */
    configurationRevision: z.number(),
    /** Wall-clock milliseconds at which revisions came in force, in ascending order; the latest ones only. */
    advances: z.array(z.object({ revision: z.number(), at: z.number() })),
    /** Revisions up to this one came in force before the first of the advances. */
    forgottenRevision: z.number(),
    /** How long changes have been waiting, in ascending order of revision; the oldest ones only. */
    pending: z.array(z.object({ revision: z.number(), waitingMilliseconds: z.number() })),
    holders: z.array(leaseHolderSchema),
    /** Progress of the declared drains; absent from a leader that does not report it. */
    drains: z.array(drainSummarySchema).optional(),
});
export type InForceStatus = z.infer<typeof inForceStatusSchema>;
export type LeaseHolder = z.infer<typeof leaseHolderSchema>;

const formatSeconds = (milliseconds: number) => `${(milliseconds / 1_000).toFixed(1)} s`;

const describeLeaseHolder = ({ entry, appliedRevision, leaseMilliseconds }: LeaseHolder, revision: number) =>
    appliedRevision === undefined
        ? `Entry ${entry} has not reported to the new leader and may hold a lease for ${
            formatSeconds(leaseMilliseconds)
        }.`
        : `Entry ${entry} has applied revision ${appliedRevision}, not ${revision}; `
            + `its lease ends in ${formatSeconds(leaseMilliseconds)} unless it is renewed.`;

/**
 * Conditions of an object.
 *
 * @param revision Revision of the last change of the object.
 * @param acceptedAt Wall-clock time of that change.
 * @param status State at the leader; undefined when the answer does not come from the leader.
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

/** Condition of a drain; none when the answer did not ask the leader. */
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
            message: isStalled ? `The change has been waiting for ${formatSeconds(waiting)}. ${message}` : message,
            lastTransitionTime,
        },
    ];
}
