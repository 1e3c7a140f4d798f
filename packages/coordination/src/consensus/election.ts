/**
 * Elections: the task that waits for the election timeout, candidacy, and answers to vote requests.
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

/** Stands for elections whenever no leader was heard within the election timeout. */
export async function runElections(context: ReplicaContext, onElected: () => void): Promise<void> {
    const noNotification = createNotifier();
    const { signal } = context.stopped;
    contexts.resetElectionDeadline(context);
    while (!signal.aborted) {
        await pause(
            context.clock,
            Math.max(1, context.electionDeadline - contexts.now(context)),
            noNotification,
            signal,
        );
        if (signal.aborted || contexts.now(context) < context.electionDeadline) {
            continue;
        }
        contexts.resetElectionDeadline(context);
        if (context.leadership !== undefined) {
            continue;
        }
        // Nobody may be sent to a leader that is not heard any more: calls to it would last until their deadline.
        becomeFollower(context, undefined);
        if (contexts.canCampaign(context)) {
            await campaign(context, false, onElected).catch(context.fail);
        }
    }
}

/**
 * Stands for election once.
 *
 * @param isTransfer Whether the leader asked for it; the pre-vote is then left out.
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
 * Shortens the wait after a lost election. Others may have heard the leader a little later, or stood at the same time;
 * the next attempt begins with a pre-vote, which disturbs nobody, so it need not wait for another election timeout. The
 * spread exceeds a round trip between regions, or the same candidates would meet again.
 */
function shortenElectionTimeout(context: ReplicaContext): void {
    const { heartbeatMilliseconds, random } = context.options;
    context.electionDeadline = contexts.now(context) + heartbeatMilliseconds * (0.5 + 2 * random());
}

/** The members of a new group with the store ids that voted; undefined when the log records them already. */
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

/** Asks all voters and resolves as soon as the outcome is certain. */
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
            // With half of it, nobody was elected while the disks or the network of a busy machine took 300 ms.
            context.options.call(voter.name, request, context.options.electionTimeoutMilliseconds.minimum)
                .then(reply => countVote(reply.kind === ConsensusMessageKind.Vote ? reply : undefined, voter))
                .catch(() => countVote(undefined, voter));
        });
    });
}

function candidateId(candidate: string, storeId: string): string {
    return `${candidate}/${storeId}`;
}

/** True while this replica heard from a leader, or led, so recently that it must not help to elect another one. */
function hasRecentLeader(context: ReplicaContext): boolean {
    const contactAt = context.leadership === undefined
        ? context.leaderContactAt
        : Math.max(quorumAcknowledgedAt(context, context.leadership), context.leadership.quorumConfirmedAt);
    return contexts.now(context) - contactAt < context.options.electionTimeoutMilliseconds.minimum;
}

/**
 * Settles which of two replicas that stand at the same time goes on, so that they do not split the votes: of those with
 * equal logs, the one with the greater name. A replica that asks for votes already goes on in any case.
 */
function yieldsTo(context: ReplicaContext, request: VoteRequest): boolean {
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

/** Answers a vote or pre-vote request. The caller holds the lock. */
export async function handleVote(context: ReplicaContext, request: VoteRequest): Promise<VoteReply> {
    const reply = (isGranted: boolean): VoteReply => ({
        kind: ConsensusMessageKind.Vote,
        term: context.term,
        storeId: context.storage.storeId,
        isGranted,
    });
    const { lastTerm, lastIndex } = context.storage;
    const isUpToDate = request.lastTerm > lastTerm || (request.lastTerm === lastTerm && request.lastIndex >= lastIndex);
    if (request.term < context.term || (hasRecentLeader(context) && !request.isTransfer)) {
        return reply(false);
    }
    if (request.isPreVote) {
        return reply(isUpToDate && request.term > context.term && yieldsTo(context, request));
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
        // Before the write, or an election timeout that passes meanwhile would challenge the candidate at once.
        contexts.resetElectionDeadline(context);
    }
    await contexts.saveTerm(context, request.term, isGranted ? candidate : votedFor);
    return reply(isGranted);
}
