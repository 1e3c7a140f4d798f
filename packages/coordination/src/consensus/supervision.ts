/**
 * Periodic tasks of a leader besides replication: it steps down without a quorum (check quorum), transfers leadership
 * to a preferred replica, and restores voters whose disk was wiped.
 */
import type { Leadership, PeerProgress, ReplicaContext } from "./context.js";
import * as contexts from "./context.js";
import { becomeFollower, holdsLease, quorumAcknowledgedAt } from "./leadership.js";
import { changeMembership } from "./membership-changes.js";
import type { Member } from "./membership.js";
import { isVoter, MembershipChange } from "./membership.js";
import type { TransferRequest } from "./messages.js";
import { ConsensusMessageKind } from "./messages.js";
import { updatePeers } from "./replication.js";
import { pause, waitUntil } from "./waiting.js";

/** Time for which a peer must have responded before it is preferred as leader. */
const STABLE_AFTER_MS = 2_000;
/** Minimum time between attempts to transfer leadership to a preferred replica. */
const TRANSFER_RETRY_INTERVAL_MS = 10_000;

/** Performs the periodic tasks until the leadership ends. */
export async function superviseLeadership(context: ReplicaContext, leadership: Leadership): Promise<void> {
    let restoring: Promise<void> | undefined;
    while (contexts.isCurrent(context, leadership)) {
        updatePeers(context, leadership);
        const time = contexts.now(context);
        // Sets `leaseHeldSince` even if the application never checks the lease.
        holdsLease(context);
        leadership.quorumConfirmedAt = Math.max(
            leadership.quorumConfirmedAt,
            quorumAcknowledgedAt(context, leadership),
        );
        if (time - leadership.quorumConfirmedAt > context.options.electionTimeoutMilliseconds.maximum) {
            context.options.counters.increment("consensus.quorum_lost");
            becomeFollower(context, undefined);
            return;
        }
        const preferred = findPreferredTarget(context, leadership);
        if (preferred !== undefined && time - leadership.lastTransferAt > TRANSFER_RETRY_INTERVAL_MS) {
            await transferLeadership(context, preferred.name);
        }
        restoring ??= restoreWipedMember(context, leadership)?.catch(() =>
            context.options.counters.increment("consensus.failed_restorations")
        ).finally(() => {
            restoring = undefined;
        });
        const { heartbeatMilliseconds } = context.options;
        await pause(context.clock, heartbeatMilliseconds, context.membershipChanged, leadership.ended.signal);
    }
}

/**
 * Makes the next membership change that restores a member whose disk was wiped: it becomes a learner with its new store
 * and, if it was a voter, a voter again once it has caught up. Returns undefined when there is nothing to do; the
 * supervision retries a failed change. There is no waiting period: until it is a voter again, the group tolerates one
 * loss less.
 */
function restoreWipedMember(context: ReplicaContext, leadership: Leadership): Promise<void> | undefined {
    if (!context.options.rejoinsWipedVoters || !holdsLease(context)) {
        return undefined;
    }
    const members = contexts.currentMembers(context);
    const storeIdOf = (member: Member) => leadership.peers.get(member.name)?.storeId ?? member.storeId;
    const isCaughtUp = (member: Member) =>
        storeIdOf(member) === member.storeId
        && (leadership.peers.get(member.name)?.matchIndex ?? 0) >= context.commitIndex;
    const returning = members.filter(member => member.isReturning);
    // One at a time: fewer voters would acknowledge changes that fewer disks hold.
    const next = returning.find(isCaughtUp)
        ?? returning.find(member => !isHeldUp(context, leadership, member.name))
        ?? members.find(member => storeIdOf(member) !== member.storeId);
    if (next === undefined) {
        return undefined;
    }
    const { name } = next;
    const storeId = storeIdOf(next);
    if (storeId !== next.storeId) {
        const isReturning = next.isVoter || next.isReturning;
        return changeMembership(context, { kind: MembershipChange.AddLearner, name, storeId, isReturning });
    }
    return isCaughtUp(next) ? changeMembership(context, { kind: MembershipChange.Promote, name }) : undefined;
}

/** Whether the member has stored nothing for two of the longest election timeouts of this leadership. */
function isHeldUp(context: ReplicaContext, leadership: Leadership, name: string): boolean {
    const progressedAt = leadership.peers.get(name)?.progressedAt ?? -Infinity;
    const since = Math.max(progressedAt, leadership.leaseHeldSince ?? Infinity);
    return contexts.now(context) - since > 2 * context.options.electionTimeoutMilliseconds.maximum;
}

/** Whether all requests to the peer have succeeded for a while; a peer with intermittent failures is not stable. */
function isStable(context: ReplicaContext, peer: PeerProgress): boolean {
    return peer.respondingSince !== undefined && contexts.now(context) - peer.respondingSince >= STABLE_AFTER_MS;
}

/** A stable voter with a higher leadership preference than this replica that holds all committed entries. */
function findPreferredTarget(context: ReplicaContext, leadership: Leadership): PeerProgress | undefined {
    return findTransferTargets(context, leadership)
        .filter(peer => peer.preference > context.options.leadershipPreference)
        .find(peer => isStable(context, peer) && peer.matchIndex >= context.commitIndex);
}

/** Voters that respond, by descending leadership preference and then by descending match index. */
function findTransferTargets(context: ReplicaContext, leadership: Leadership): PeerProgress[] {
    return [...leadership.peers.values()]
        .filter(peer => peer.respondingSince !== undefined)
        .filter(peer => isVoter(contexts.currentMembers(context), peer.name, peer.storeId ?? ""))
        .sort((a, b) => b.preference - a.preference || b.matchIndex - a.matchIndex);
}

/**
 * Transfers leadership to a voter: rejects new proposals, waits until the target holds all entries, revokes the lease
 * for the rest of the term and requests the target to campaign. The lease must be revoked first, because voters do not
 * wait for it to expire in an election by transfer.
 *
 * @param target Name of the voter; when omitted, the most suitable voter.
 * @returns False when this replica is not the leader, or when the target did not catch up or did not accept.
 */
export async function transferLeadership(context: ReplicaContext, target?: string): Promise<boolean> {
    const { leadership } = context;
    if (leadership === undefined || leadership.isTransferring) {
        return false;
    }
    const peer = findTransferTargets(context, leadership).find(({ name }) => target === undefined || name === target);
    if (peer === undefined) {
        return false;
    }
    leadership.isTransferring = true;
    leadership.lastTransferAt = contexts.now(context);
    const hasAllEntries = () => {
        const { lastIndex } = context.storage;
        return peer.matchIndex >= lastIndex && context.appliedIndex >= lastIndex;
    };
    const isCaughtUp = await waitUntil(
        context.clock,
        hasAllEntries,
        leadership.acknowledged,
        leadership.ended.signal,
        context.options.electionTimeoutMilliseconds.minimum,
    );
    if (!contexts.isCurrent(context, leadership) || !isCaughtUp) {
        leadership.isTransferring = false;
        return false;
    }
    leadership.isLeaseRevoked = true;
    becomeFollower(context, undefined);
    const request: TransferRequest = {
        kind: ConsensusMessageKind.Transfer,
        groupId: context.options.groupId,
        term: leadership.term,
        leader: context.self,
    };
    const reply = await context.options.call(peer.name, request, context.options.electionTimeoutMilliseconds.minimum)
        .catch(() => undefined);
    return reply?.kind === ConsensusMessageKind.Transfer && reply.isAccepted;
}
