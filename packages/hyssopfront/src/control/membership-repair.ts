/**
 * Re-adds a replica whose disk was replaced to its group: first as a learner, then as a voter once it has caught up.
 */
import {
    type Clock,
    type Counters,
    MembershipChange,
    type MembershipRequest,
    type Replica,
    ReplicaRole,
} from "@hyssopfront/coordination";

/** Interval at which the leader checks the membership, in milliseconds. */
const REPAIR_INTERVAL_MS = 1_000;

/** @returns The next membership change to make, or undefined when there is none or this instance does not lead. */
function findMembershipChange(replica: Replica, voters: readonly string[]): MembershipRequest | undefined {
    const { role, members, replacedStores } = replica.status();
    if (role !== ReplicaRole.Leader) {
        return undefined;
    }
    const learner = members.find(member => !member.isVoter && voters.includes(member.name));
    if (learner !== undefined) {
        return { kind: MembershipChange.Promote, name: learner.name };
    }
    const replaced = replacedStores.find(({ name }) =>
        members.some(member => member.name === name && member.storeId !== undefined)
    );
    return replaced === undefined ? undefined : { kind: MembershipChange.AddLearner, ...replaced };
}

/**
 * Checks and repairs the membership of a group whenever this instance leads it, until the signal aborts.
 *
 * @param options.voters Names of the instances that the settings list as voters of the group.
 */
export async function repairMembership(options: {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly replica: Replica;
    readonly voters: readonly string[];
    readonly signal: AbortSignal;
}): Promise<void> {
    const { clock, counters, replica, voters, signal } = options;
    while (!signal.aborted) {
        await clock.sleep(REPAIR_INTERVAL_MS, signal).catch(() => undefined);
        const change = signal.aborted ? undefined : findMembershipChange(replica, voters);
        if (change !== undefined) {
            // The change fails when the learner has not caught up or leadership was lost. The next round tries again.
            const outcome = await replica.changeMembership(change).then(() => "done", () => "refused");
            counters.increment("control.membership_repairs", 1, { kind: change.kind, outcome });
        }
    }
}
