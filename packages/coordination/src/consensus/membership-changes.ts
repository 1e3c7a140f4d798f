/**
 * Membership changes on the leader, one at a time.
 */
import type { Leadership, ReplicaContext } from "./context.js";
import * as contexts from "./context.js";
import { MembershipError, NotLeaderError } from "./errors.js";
import { holdsLease, proposeEntry, quorumAcknowledgedAt } from "./leadership.js";
import type { Member, MembershipRequest } from "./membership.js";
import { applyMembershipChange, encodeMembers, MembershipChange } from "./membership.js";
import { ConsensusMessageKind } from "./messages.js";
import { encodeEntry, EntryType } from "./payloads.js";
import { waitUntil } from "./waiting.js";

/**
 * Makes one membership change and resolves once it is committed and applied.
 *
 * @throws MembershipError when the change is not possible now.
 * @throws NotLeaderError, ProposalRefusedError or OutcomeUnknownError as a proposal does.
 */
export async function changeMembership(context: ReplicaContext, change: MembershipRequest): Promise<void> {
    const storeId = change.kind === MembershipChange.AddLearner
        ? change.storeId ?? await requestStoreId(context, change.name)
        : "";
    const { leadership } = context;
    if (leadership === undefined || !holdsLease(context)) {
        throw new NotLeaderError("changeMembership", context.leader === context.self ? undefined : context.leader);
    }
    if ((context.memberships.at(-1)?.index ?? 0) > context.commitIndex) {
        throw new MembershipError("change", change.name, "Another membership change is still uncommitted.");
    }
    const current = contexts.currentMembers(context);
    const members = applyMembershipChange(current, change, storeId);
    if (change.kind === MembershipChange.Promote) {
        await assertCaughtUp(context, leadership, change.name);
    }
    await assertQuorumResponds(context, leadership, members, change.name);
    if (contexts.currentMembers(context) !== current) {
        throw new MembershipError("change", change.name, "Another membership change was made concurrently.");
    }
    await proposeEntry(context, "changeMembership", encodeEntry(EntryType.Membership, encodeMembers(members)));
}

/**
 * Rejects a change after which no majority of the voters would respond: the group could neither commit it nor revert
 * it. An example is the removal of one of three voters while another one has lost its disk.
 */
async function assertQuorumResponds(
    context: ReplicaContext,
    leadership: Leadership,
    members: readonly Member[],
    name: string,
): Promise<void> {
    const startedAt = contexts.now(context);
    leadership.peers.forEach(peer => peer.wakeHeartbeat.notify());
    const isConfirmed = await waitUntil(
        context.clock,
        () => quorumAcknowledgedAt(context, leadership, members) >= startedAt,
        leadership.acknowledged,
        leadership.ended.signal,
        context.options.electionTimeoutMilliseconds.minimum,
    );
    if (!isConfirmed) {
        throw new MembershipError("change", name, "The change would leave no majority of voters that respond.");
    }
}

/**
 * Rejects the promotion of a learner that lacks some of what the group has committed. Such a voter would stall commits
 * that need its vote, and beside voters that are lost it would make a majority that holds less than was acknowledged.
 */
async function assertCaughtUp(context: ReplicaContext, leadership: Leadership, name: string): Promise<void> {
    const { commitIndex } = context;
    const storeId = contexts.currentMembers(context).find(member => member.name === name)?.storeId;
    const isCaughtUp = await waitUntil(
        context.clock,
        () => {
            const peer = leadership.peers.get(name);
            return peer !== undefined && peer.storeId === storeId && peer.matchIndex >= commitIndex;
        },
        leadership.acknowledged,
        leadership.ended.signal,
        context.options.electionTimeoutMilliseconds.minimum,
    );
    if (!isCaughtUp) {
        throw new MembershipError("promote", name, `${name} has not caught up with the log yet.`);
    }
}

/** Requests the store id of a replica that is not a member yet. */
async function requestStoreId(context: ReplicaContext, name: string): Promise<string> {
    const request = { kind: ConsensusMessageKind.Identify, groupId: context.options.groupId } as const;
    const deadline = context.options.electionTimeoutMilliseconds.minimum;
    const reply = await context.options.call(name, request, deadline).catch((error: unknown) => {
        throw new MembershipError("identify", name, `${name} does not respond: ${String(error)}.`);
    });
    if (reply.kind !== ConsensusMessageKind.Identify) {
        throw new MembershipError("identify", name, `${name} did not reply with its store id.`);
    }
    return reply.storeId;
}
