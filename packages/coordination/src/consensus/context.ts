/**
 * State of one replica, shared by the modules of this folder, and its basic operations.
 */
import type { Clock } from "../clock/clock.js";
import type { LogStorage, StoredEntry } from "../storage/log-storage.js";
import { ConsensusViolationError } from "./errors.js";
import type { Member, MembershipRecord } from "./membership.js";
import { decodeMembers, isVoter } from "./membership.js";
import { entryContent, EntryType, entryType } from "./payloads.js";
import type { ResolvedOptions } from "./replica-types.js";
import type { ReplicaRole } from "./replica-types.js";
import type { Mutex, Notifier } from "./waiting.js";

/** Replication progress of one peer, as seen by the leader. */
export type PeerProgress = {
    readonly name: string;
    /** Store id in the latest reply; a different store id resets the progress. */
    storeId: string | undefined;
    /** Index of the next entry to send. */
    nextIndex: number;
    /** Index of the last entry that the peer is known to hold durably. */
    matchIndex: number;
    /** Monotonic time at which the peer last stored something that it lacked, in milliseconds. */
    progressedAt: number;
    /** Monotonic time at which the latest acknowledged request was sent, in milliseconds. */
    acknowledgedSentAt: number;
    /** Monotonic time since which all requests to the peer have succeeded; undefined after a failed request. */
    respondingSince: number | undefined;
    /** Leadership preference of the peer, from its latest reply. */
    preference: number;
    /** While true, one append at a time is sent, until the log of the peer is known to match. */
    isProbing: boolean;
    appendsInFlight: number;
    heartbeatsInFlight: number;
    /** Monotonic time before which no append is sent, in milliseconds. */
    retryAt: number;
    /** Highest commit index sent to the peer. */
    sentCommitIndex: number;
    readonly wakeReplication: Notifier;
    readonly wakeHeartbeat: Notifier;
};

/** A proposal that was appended, but not applied yet. */
export type PendingProposal = {
    readonly resolve: (outcome: { index: number; result: unknown }) => void;
    readonly reject: (error: Error) => void;
};

/** State of the leader in one term. */
export type Leadership = {
    readonly term: number;
    /** Index of the first entry that this leader appends in the term. */
    readonly termStartIndex: number;
    readonly peers: Map<string, PeerProgress>;
    /** By index of their entries. */
    readonly pendingProposals: Map<number, PendingProposal>;
    /** Payload bytes of `pendingProposals`. */
    pendingBytes: number;
    /** Aborts when the leadership ends. */
    readonly ended: AbortController;
    /** Notified when a peer acknowledges this leader. */
    readonly acknowledged: Notifier;
    /** Proposals are rejected while leadership is being transferred. */
    isTransferring: boolean;
    /** Set before leadership is transferred and never cleared; the lease must not become valid again in this term. */
    isLeaseRevoked: boolean;
    /** Monotonic time at which the lease was first found valid; undefined before. */
    leaseHeldSince: number | undefined;
    /** Monotonic time of the latest acknowledgement by a quorum; initially the start of the leadership. */
    quorumConfirmedAt: number;
    /** Monotonic time of the latest attempt to transfer leadership. */
    lastTransferAt: number;
};

/** A partially received snapshot; sizes in bytes. */
export type IncomingSnapshot = {
    readonly term: number;
    readonly index: number;
    readonly total: number;
    readonly chunks: Uint8Array[];
    received: number;
};

/** State of a replica in every role. */
export type ReplicaContext = {
    readonly options: ResolvedOptions;
    readonly clock: Clock;
    readonly storage: LogStorage;
    readonly self: string;
    role: ReplicaRole;
    term: number;
    /** Name and store id of the candidate that received the vote in the current term. */
    votedFor: string | undefined;
    /** Name of the leader, as far as this replica knows. */
    leader: string | undefined;
    /** Monotonic time at which the leader became unknown; undefined while it is known and before the start. */
    leaderlessSince: number | undefined;
    /**
     * Monotonic time of the latest contact with a leader; also set at the start, as contact before it is not stored.
     */
    leaderContactAt: number;
    /** Monotonic time at which the election timeout expires. */
    electionDeadline: number;
    /** True during the pre-vote, unless this replica has yielded to another one. */
    isPreVoting: boolean;
    commitIndex: number;
    appliedIndex: number;
    /** Index of the last entry that is durable in the local storage. */
    durableIndex: number;
    /** In ascending order of index; the last one is in effect, even if uncommitted. */
    memberships: MembershipRecord[];
    leadership: Leadership | undefined;
    incomingSnapshot: IncomingSnapshot | undefined;
    isCompacting: boolean;
    failure: Error | undefined;
    /** Serializes operations that change term, vote or log on behalf of peers. */
    readonly lock: Mutex;
    /** Serializes apply and snapshot installation. */
    readonly applyLock: Mutex;
    readonly committed: Notifier;
    readonly applied: Notifier;
    readonly membershipChanged: Notifier;
    readonly stopped: AbortController;
    readonly publishState: () => void;
    /** Stops the replica permanently because of an error. */
    readonly fail: (error: unknown) => void;
};

/** Monotonic time in milliseconds. */
export function now(context: ReplicaContext): number {
    return context.clock.monotonicMilliseconds();
}

/** Members in effect, even if their membership is uncommitted. */
export function currentMembers(context: ReplicaContext): readonly Member[] {
    return context.memberships.at(-1)?.members ?? [];
}

/** Members in effect at a log index. */
export function membersAt(context: ReplicaContext, index: number): readonly Member[] {
    return context.memberships.findLast(record => record.index <= index)?.members ?? [];
}

/** Whether this replica is a voter in the current membership. */
export function isSelfVoter(context: ReplicaContext): boolean {
    return isVoter(currentMembers(context), context.self, context.storage.storeId);
}

/**
 * Whether this replica may campaign: as a voter, or while the membership that removes it is not known to be committed.
 * Without the second case no leader could be elected when only this replica holds that membership and the others need
 * its vote.
 */
export function canCampaign(context: ReplicaContext): boolean {
    const committed = context.memberships.findLastIndex(record => record.index <= context.commitIndex);
    return context.memberships.slice(Math.max(0, committed))
        .some(record => isVoter(record.members, context.self, context.storage.storeId));
}

/** Sets the known leader and keeps track of the time without one. */
export function setLeader(context: ReplicaContext, leader: string | undefined): void {
    context.leader = leader;
    context.leaderlessSince = leader === undefined ? context.leaderlessSince ?? now(context) : undefined;
}

/** Whether this replica is still leader with the given leadership. */
export function isCurrent(context: ReplicaContext, leadership: Leadership): boolean {
    return context.leadership === leadership;
}

/** Restarts the election timer with a new random timeout. */
export function resetElectionDeadline(context: ReplicaContext): void {
    const { minimum, maximum } = context.options.electionTimeoutMilliseconds;
    context.electionDeadline = now(context) + minimum + context.options.random() * (maximum - minimum);
}

/** Puts the membership in an entry into effect. Returns false when the entry contains none. */
export function recordMembership(context: ReplicaContext, entry: StoredEntry): boolean {
    if (entryType(entry.payload) !== EntryType.Membership) {
        return false;
    }
    context.memberships.push({ index: entry.index, members: decodeMembers(entryContent(entry.payload)) });
    return true;
}

/** Appends entries, puts the memberships in them into effect, and resolves once the entries are durable. */
export async function appendEntries(context: ReplicaContext, entries: readonly StoredEntry[]): Promise<void> {
    const last = entries.at(-1);
    const durable = context.storage.append(entries);
    if (entries.filter(entry => recordMembership(context, entry)).length > 0) {
        context.membershipChanged.notify();
        context.publishState();
    }
    await durable;
    if (last !== undefined && context.storage.termAt(last.index) === last.term) {
        context.durableIndex = Math.max(context.durableIndex, last.index);
    }
}

/**
 * Removes a conflicting suffix of the log and the memberships in it.
 *
 * @param index First index to remove.
 * @throws ConsensusViolationError when the entry is committed.
 */
export async function truncateEntries(context: ReplicaContext, index: number): Promise<void> {
    if (index <= context.commitIndex) {
        throw new ConsensusViolationError(`A leader attempted to overwrite the committed entry ${index}.`);
    }
    context.memberships = context.memberships.filter(record => record.index < index);
    context.durableIndex = Math.min(context.durableIndex, index - 1);
    context.membershipChanged.notify();
    context.publishState();
    await context.storage.truncateFrom(index);
}

/** Sets the term and vote and resolves once they are durable. The caller holds the lock. */
export async function saveTerm(context: ReplicaContext, term: number, votedFor: string | undefined): Promise<void> {
    if (term === context.term && votedFor === context.votedFor) {
        return;
    }
    context.term = term;
    context.votedFor = votedFor;
    await context.storage.saveHardState({ term, votedFor });
}
