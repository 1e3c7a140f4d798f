/**
 * Brings replicas back whose disk was replaced: they join as learners and get their vote once they have caught up.
 */
import {
    type Clock,
    type Counters,
    MembershipChange,
    type MembershipRequest,
    type Replica,
    ReplicaRole,
} from "@hyssopfront/coordination";

const REPAIR_INTERVAL_MS = 1_000;

/** One change that is due on the leader, or undefined. */
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
 * Repairs the membership of a group while this instance leads it, until the signal aborts.
 *
 * @param voters Instances that the settings name as voters.
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
            // Not caught up yet, or the lead was lost: the next round tries again.
            const outcome = await replica.changeMembership(change).then(() => "done", () => "refused");
            counters.increment("control.membership_repairs", 1, { kind: change.kind, outcome });
        }
    }
}
