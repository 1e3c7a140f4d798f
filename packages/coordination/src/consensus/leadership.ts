/**
 * Role transitions between leader and follower, proposals, the leader lease, and the commit index.
 */
import type { Leadership, PeerProgress, ReplicaContext } from "./context.js";
import * as contexts from "./context.js";
import { NotLeaderError, OutcomeUnknownError, ProposalRefusedError } from "./errors.js";
import type { Member } from "./membership.js";
import { encodeMembers, majorityValue } from "./membership.js";
import { encodeEntry, EntryType } from "./payloads.js";
import { ReplicaRole } from "./replica-types.js";
import { createNotifier, createSharedAbortController } from "./waiting.js";

/**
 * Becomes leader of the current term and appends its first entry. The caller holds the lock.
 *
 * @param members Initial members with the store ids learned in the first election of a new group, which become the
 * first membership in the log; undefined when the log already has a membership.
 */
export function becomeLeader(context: ReplicaContext, members: readonly Member[] | undefined): Leadership {
    const leadership: Leadership = {
        term: context.term,
        termStartIndex: context.storage.lastIndex + 1,
        peers: new Map(),
        pendingProposals: new Map(),
        pendingBytes: 0,
        ended: createSharedAbortController(),
        acknowledged: createNotifier(),
        isTransferring: false,
        isLeaseRevoked: false,
        leaseHeldSince: undefined,
        quorumConfirmedAt: contexts.now(context),
        lastTransferAt: -Infinity,
    };
    context.role = ReplicaRole.Leader;
    contexts.setLeader(context, context.self);
    context.leadership = leadership;
    const payload = members === undefined
        ? encodeEntry(EntryType.NoOp)
        : encodeEntry(EntryType.Membership, encodeMembers(members));
    appendAsLeader(context, leadership, payload);
    context.options.counters.increment("consensus.elected");
    context.publishState();
    return leadership;
}

/**
 * Becomes follower immediately. Pending proposals of an ended leadership are rejected with OutcomeUnknownError.
 *
 * @param leader Name of the leader to follow; undefined when it is unknown.
 */
export function becomeFollower(context: ReplicaContext, leader: string | undefined): void {
    const { leadership } = context;
    const isChange = context.role !== ReplicaRole.Follower || context.leader !== leader;
    if (context.role !== ReplicaRole.Stopped) {
        context.role = ReplicaRole.Follower;
    }
    contexts.setLeader(context, leader);
    context.leadership = undefined;
    if (leadership !== undefined) {
        leadership.ended.abort();
        leadership.pendingProposals.forEach((proposal, index) =>
            proposal.reject(new OutcomeUnknownError("commit", index))
        );
        leadership.pendingProposals.clear();
        contexts.resetElectionDeadline(context);
    }
    if (isChange) {
        context.publishState();
    }
}

/** Adopts a higher term received in a request and becomes follower. The caller holds the lock. */
export async function adoptTerm(context: ReplicaContext, term: number): Promise<void> {
    if (term > context.term && !context.stopped.signal.aborted) {
        becomeFollower(context, undefined);
        await contexts.saveTerm(context, term, undefined);
    }
}

/** Adopts a higher term received in a reply. */
export function adoptReplyTerm(context: ReplicaContext, term: number): void {
    if (term > context.term) {
        context.lock(() => adoptTerm(context, term)).catch(context.fail);
    }
}

/** Appends one entry to the leader's own log. Returns its index. */
export function appendAsLeader(context: ReplicaContext, leadership: Leadership, payload: Uint8Array): number {
    const index = context.storage.lastIndex + 1;
    contexts.appendEntries(context, [{ index, term: leadership.term, payload }])
        .then(() => advanceCommitIndex(context, leadership))
        .catch(context.fail);
    leadership.peers.forEach(peer => peer.wakeReplication.notify());
    return index;
}

/**
 * Appends an entry and resolves with its index and the result of `apply` once it is applied.
 *
 * @param step Operation of the caller, for errors.
 * @throws NotLeaderError or ProposalRefusedError when the entry was not appended.
 * @throws OutcomeUnknownError when it may still be committed.
 */
export function proposeEntry(
    context: ReplicaContext,
    step: string,
    payload: Uint8Array,
): Promise<{ index: number; result: unknown }> {
    const { leadership } = context;
    if (leadership === undefined || leadership.isTransferring || !holdsLease(context)) {
        const hint = context.leader === context.self ? undefined : context.leader;
        return Promise.reject(new NotLeaderError(step, hint));
    }
    const { maximumPendingProposals, maximumPendingBytes } = context.options;
    if (
        leadership.pendingProposals.size >= maximumPendingProposals
        || leadership.pendingBytes + payload.length > maximumPendingBytes
    ) {
        return Promise.reject(new ProposalRefusedError(step, "Too many changes wait for their commit."));
    }
    return new Promise((resolve, reject) => {
        leadership.pendingBytes += payload.length;
        leadership.pendingProposals.set(appendAsLeader(context, leadership, payload), { resolve, reject });
    });
}

/** Progress of a voter; undefined when its replies come from another store, whose acknowledgements do not count. */
function progressOf(context: ReplicaContext, leadership: Leadership, voter: Member): PeerProgress | undefined {
    const progress = leadership.peers.get(voter.name);
    return progress !== undefined && progress.storeId === voter.storeId ? progress : undefined;
}

function isSelf(context: ReplicaContext, voter: Member): boolean {
    return voter.name === context.self && voter.storeId === context.storage.storeId;
}

/**
 * Latest monotonic time, in milliseconds, such that a majority of the voters has acknowledged requests that this leader
 * sent at that time or later; -Infinity when no majority has acknowledged any.
 */
export function quorumAcknowledgedAt(
    context: ReplicaContext,
    leadership: Leadership,
    members = contexts.currentMembers(context),
): number {
    return majorityValue(
        members,
        voter =>
            isSelf(context, voter)
                ? contexts.now(context)
                : progressOf(context, leadership, voter)?.acknowledgedSentAt ?? -Infinity,
    );
}

/**
 * Whether this replica holds a valid leader lease now. The lease counts from the time at which the requests that a
 * majority acknowledged were sent, and ends before any of these voters may vote for another leader. It is not valid
 * before an entry of the leader's own term is applied, because only then does the local state include everything that
 * earlier leaders acknowledged.
 */
export function holdsLease(context: ReplicaContext): boolean {
    const { leadership } = context;
    if (leadership === undefined || leadership.isLeaseRevoked || context.appliedIndex < leadership.termStartIndex) {
        return false;
    }
    const expiresAt = quorumAcknowledgedAt(context, leadership) + context.options.leaderLeaseMilliseconds;
    const isValid = contexts.now(context) < expiresAt;
    if (isValid) {
        leadership.leaseHeldSince ??= contexts.now(context);
    }
    return isValid;
}

/**
 * Advances the commit index to the last entry that a majority of the voters holds durably. Only an entry of the current
 * term is committed this way; it commits earlier entries with it.
 */
export function advanceCommitIndex(context: ReplicaContext, leadership: Leadership): void {
    if (!contexts.isCurrent(context, leadership)) {
        return;
    }
    const index = majorityValue(
        contexts.currentMembers(context),
        voter =>
            isSelf(context, voter)
                ? context.durableIndex
                : progressOf(context, leadership, voter)?.matchIndex ?? 0,
    );
    if (index <= context.commitIndex || context.storage.termAt(index) !== leadership.term) {
        return;
    }
    context.commitIndex = index;
    context.committed.notify();
    leadership.peers.forEach(peer => peer.wakeHeartbeat.notify());
}
