/**
 * Leader election: the election timer, campaigns, and the handling of vote and pre-vote requests.
 */
import type { ReplicaContext } from "./context.js";
import * as contexts from "./context.js";
import { adoptReplyTerm, becomeFollower, becomeLeader, quorumAcknowledgedAt } from "./leadership.js";
import type { Member } from "./membership.js";
import { isVoter, votersOf, votesNeeded } from "./membership.js";
import type { VoteReply, VoteRequest } from "./messages.js";
import { ConsensusMessageKind } from "./messages.js";
import { ReplicaRole } from "./replica-types.js";
import { createNotifier, pause } from "./waiting.js";

/**
 * Campaigns whenever the election timeout passes without contact from a leader, until the replica stops.
 *
 * @param onElected Called each time this replica becomes leader.
 */
export async function runElections(context: ReplicaContext, onElected: () => void): Promise<void> {
    const neverNotified = createNotifier();
    const { signal } = context.stopped;
    contexts.resetElectionDeadline(context);
    while (!signal.aborted) {
        await pause(
            context.clock,
            Math.max(1, context.electionDeadline - contexts.now(context)),
            neverNotified,
            signal,
        );
        if (signal.aborted || contexts.now(context) < context.electionDeadline) {
            continue;
        }
        contexts.resetElectionDeadline(context);
        if (context.leadership !== undefined) {
            continue;
        }
        // Callers must not be directed to an unreachable leader: calls to it would last until their deadline.
        becomeFollower(context, undefined);
        if (contexts.canCampaign(context)) {
            await campaign(context, false, onElected).catch(context.fail);
        }
    }
}

/**
 * Campaigns once: first a pre-vote, then, if it is won, the election in the next term.
 *
 * @param isTransfer Whether the leader requested the campaign to transfer leadership; the pre-vote is then skipped.
 * @param onElected Called when this replica becomes leader.
 */
export async function campaign(context: ReplicaContext, isTransfer: boolean, onElected: () => void): Promise<void> {
    const { term } = context;
    if (!isTransfer) {
        const startedAt = contexts.now(context);
        context.isPreVoting = true;
        const preVotes = await collectVotes(context, term + 1, true, false);
        const hasYielded = !context.isPreVoting;
        context.isPreVoting = false;
        const isOvertaken = context.term !== term || context.leadership !== undefined
            || context.leaderContactAt > startedAt;
        if (isOvertaken) {
            return;
        }
        if (!preVotes.isWon || hasYielded) {
            shortenElectionTimeout(context);
            return;
        }
    }
    const isCandidate = await context.lock(async () => {
        if (context.term !== term || context.leadership !== undefined || context.stopped.signal.aborted) {
            return false;
        }
        becomeFollower(context, undefined);
        context.role = ReplicaRole.Candidate;
        context.publishState();
        await contexts.saveTerm(context, term + 1, candidateId(context.self, context.storage.storeId));
        return true;
    });
    if (!isCandidate) {
        return;
    }
    const votes = await collectVotes(context, term + 1, false, isTransfer);
    await context.lock(async () => {
        if (context.term !== term + 1 || context.role !== ReplicaRole.Candidate) {
            return;
        }
        if (!votes.isWon) {
            becomeFollower(context, undefined);
            shortenElectionTimeout(context);
            return;
        }
        becomeLeader(context, membersWithStoreIds(context, votes.storeIds));
        onElected();
    });
}

/**
 * Shortens the election timeout after a lost election. Other voters may have had contact with the leader a little
 * later, or campaigned at the same time. The next attempt begins with a pre-vote, which does not disrupt the group, so
 * it need not wait for a full election timeout. The random spread exceeds a round trip between regions; otherwise the
 * same candidates would collide again.
 */
function shortenElectionTimeout(context: ReplicaContext): void {
    const { heartbeatMilliseconds, random } = context.options;
    context.electionDeadline = contexts.now(context) + heartbeatMilliseconds * (0.5 + 2 * random());
}

/**
 * The initial members of a new group with the store ids of the voters; undefined when the log already has a membership.
 */
function membersWithStoreIds(
    context: ReplicaContext,
    storeIds: ReadonlyMap<string, string>,
): readonly Member[] | undefined {
    const record = context.memberships.at(-1);
    if (record === undefined || record.index > 0) {
        return undefined;
    }
    return record.members.map(member => ({ ...member, storeId: member.storeId ?? storeIds.get(member.name) }));
}

type VoteResult = { readonly isWon: boolean; readonly storeIds: ReadonlyMap<string, string> };

/** Requests votes or pre-votes from all voters and resolves as soon as the outcome is certain. */
async function collectVotes(
    context: ReplicaContext,
    term: number,
    isPreVote: boolean,
    isTransfer: boolean,
): Promise<VoteResult> {
    const members = contexts.currentMembers(context);
    const others = votersOf(members).filter(voter => voter.name !== context.self);
    const quorum = votesNeeded(members);
    const storeIds = new Map(contexts.isSelfVoter(context) ? [[context.self, context.storage.storeId]] : []);
    if (storeIds.size >= quorum) {
        return { isWon: true, storeIds };
    }
    const request: VoteRequest = {
        kind: ConsensusMessageKind.Vote,
        groupId: context.options.groupId,
        term,
        candidate: context.self,
        candidateStoreId: context.storage.storeId,
        lastIndex: context.storage.lastIndex,
        lastTerm: context.storage.lastTerm,
        isPreVote,
        isTransfer,
    };
    return new Promise(resolve => {
        let pendingReplies = others.length;
        const countVote = (reply: VoteReply | undefined, voter: Member) => {
            pendingReplies--;
            if (reply?.isGranted && (isPreVote || reply.term === term) && isVoter([voter], voter.name, reply.storeId)) {
                storeIds.set(voter.name, reply.storeId);
            }
            if (reply !== undefined && !reply.isGranted) {
                adoptReplyTerm(context, reply.term);
            }
            if (storeIds.size >= quorum || storeIds.size + pendingReplies < quorum) {
                resolve({ isWon: storeIds.size >= quorum, storeIds: new Map(storeIds) });
            }
        };
        others.forEach(voter => {
            // With half of this timeout, no leader was elected while disk or network of a busy machine took 300 ms.
            context.options.call(voter.name, request, context.options.electionTimeoutMilliseconds.minimum)
                .then(reply => countVote(reply.kind === ConsensusMessageKind.Vote ? reply : undefined, voter))
                .catch(() => countVote(undefined, voter));
        });
    });
}

/** Identity of a candidate in the stored vote: its name and store. */
function candidateId(candidate: string, storeId: string): string {
    return `${candidate}/${storeId}`;
}

/**
 * Whether this replica had contact with a leader, or a quorum as leader, within the minimum election timeout. It must
 * not vote for another leader during that time, because the leader may still hold its lease.
 */
function hasRecentLeader(context: ReplicaContext): boolean {
    const contactAt = context.leadership === undefined
        ? context.leaderContactAt
        : Math.max(quorumAcknowledgedAt(context, context.leadership), context.leadership.quorumConfirmedAt);
    return contexts.now(context) - contactAt < context.options.electionTimeoutMilliseconds.minimum;
}

/**
 * Abandons the pre-vote of this replica in favor of the requesting one, so that two replicas that campaign at the same
 * time do not split the votes: of those with equal logs, the one with the greater name continues. Returns false when
 * this replica does not yield, because it is already a candidate or has the greater name.
 */
function yieldPreVote(context: ReplicaContext, request: VoteRequest): boolean {
    const { lastTerm, lastIndex } = context.storage;
    const hasEqualLog = request.lastTerm === lastTerm && request.lastIndex === lastIndex;
    if (
        context.role === ReplicaRole.Candidate
        || (context.isPreVoting && hasEqualLog && request.candidate < context.self)
    ) {
        return false;
    }
    context.isPreVoting = false;
    return true;
}

/**
 * Time without a leader after which a replica votes for a new group that it was not started with, in milliseconds. An
 * instance that is back takes part in its group within 4 s.
 */
const NEW_GROUP_REFUSAL_MS = 4_000;

/**
 * Whether the candidate would start a new group that this replica was not started with, although its group may still be
 * there. The first voters do not know their stores yet, so a vote of a replica whose disk was lost counts as that of the
 * replica before, and the new group would lack what only the others of its group hold. If the disk was lost before the
 * group had its first leader, there are no others, and the new group needs the vote.
 */
function isUnknownNewGroup(context: ReplicaContext, request: VoteRequest): boolean {
    return request.lastIndex === 0 && !contexts.isSelfVoter(context)
        && contexts.now(context) - context.leaderContactAt < NEW_GROUP_REFUSAL_MS;
}

/** Handles a vote or pre-vote request; a granted vote is durable before the reply. The caller holds the lock. */
export async function handleVote(context: ReplicaContext, request: VoteRequest): Promise<VoteReply> {
    const reply = (isGranted: boolean): VoteReply => ({
        kind: ConsensusMessageKind.Vote,
        term: context.term,
        storeId: context.storage.storeId,
        isGranted,
    });
    const { lastTerm, lastIndex } = context.storage;
    const isUpToDate = request.lastTerm > lastTerm || (request.lastTerm === lastTerm && request.lastIndex >= lastIndex);
    const isStale = request.term < context.term || (hasRecentLeader(context) && !request.isTransfer);
    if (isStale || isUnknownNewGroup(context, request)) {
        return reply(false);
    }
    if (request.isPreVote) {
        return reply(isUpToDate && request.term > context.term && yieldPreVote(context, request));
    }
    const isNewTerm = request.term > context.term;
    if (isNewTerm) {
        becomeFollower(context, undefined);
    }
    const candidate = candidateId(request.candidate, request.candidateStoreId);
    const votedFor = isNewTerm ? undefined : context.votedFor;
    const isGranted = isUpToDate && (votedFor === undefined || votedFor === candidate)
        && (isNewTerm || context.leadership === undefined);
    if (isGranted) {
        // Before the write, because an election timeout that expires during it would start a competing campaign.
        contexts.resetElectionDeadline(context);
    }
    await contexts.saveTerm(context, request.term, isGranted ? candidate : votedFor);
    return reply(isGranted);
}
