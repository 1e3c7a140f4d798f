/**
 * State of one replica, shared by the modules of this slice.
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

/** What a leader knows of one peer. */
export type PeerProgress = {
    readonly name: string;
    /** Store that answered last; its change resets the rest. */
    storeId: string | undefined;
    /** Next index to send. */
    nextIndex: number;
    /** Last index that the peer holds durably. */
    matchIndex: number;
    /** Monotonic time at which the latest acknowledged request was sent. */
    acknowledgedSentAt: number;
    /** Start of the current run of answered requests; undefined after a failed one. */
    respondingSince: number | undefined;
    preference: number;
    /** While true, one append at a time is sent until the peer's log is known to match. */
    isProbing: boolean;
    appendsInFlight: number;
    heartbeatsInFlight: number;
    /** No append is sent before this monotonic time. */
    retryAt: number;
    /** Commit index told last. */
    sentCommitIndex: number;
    readonly wakeReplication: Notifier;
    readonly wakeHeartbeat: Notifier;
};

export type PendingProposal = {
    readonly resolve: (outcome: { index: number; result: unknown }) => void;
    readonly reject: (error: Error) => void;
};

/** State of one term in which this replica leads. */
export type Leadership = {
    readonly term: number;
    /** Index of the first entry of the term. */
    readonly termStartIndex: number;
    readonly peers: Map<string, PeerProgress>;
    readonly pendingProposals: Map<number, PendingProposal>;
    /** Bytes of the payloads in `pending`. */
    pendingBytes: number;
    /** Aborts when the leadership ends. */
    readonly ended: AbortController;
    /** Notified on each acknowledgement. */
    readonly acknowledged: Notifier;
    isTransferring: boolean;
    /** Set for good before leadership is handed over; the lease must not come back in this term. */
    isLeaseRevoked: boolean;
    /** Monotonic time at which the lease was first seen valid. */
    leaseHeldSince: number | undefined;
    /** When the quorum was confirmed last, or the start of the leadership. */
    quorumConfirmedAt: number;
    lastTransferAt: number;
};

export type IncomingSnapshot = {
    readonly term: number;
    readonly index: number;
    readonly total: number;
    readonly chunks: Uint8Array[];
    received: number;
};

export type ReplicaContext = {
    readonly options: ResolvedOptions;
    readonly clock: Clock;
    readonly storage: LogStorage;
    readonly self: string;
    role: ReplicaRole;
    term: number;
    /** Name and store of the candidate that got the vote of this term. */
    votedFor: string | undefined;
    leader: string | undefined;
    /** Monotonic time at which the leader became unknown; undefined while it is known. */
    leaderlessSince: number | undefined;
    /** Monotonic time of the last message of a leader; also set at the start, because a vote given before is forgotten. */
    leaderContactAt: number;
    electionDeadline: number;
    /** Becomes false while pre-votes are collected when this replica yields to another one. */
    isPreVoting: boolean;
    commitIndex: number;
    appliedIndex: number;
    durableIndex: number;
    /** In ascending order of index; the last one is in force. */
    memberships: MembershipRecord[];
    leadership: Leadership | undefined;
    incomingSnapshot: IncomingSnapshot | undefined;
    isCompacting: boolean;
    failure: Error | undefined;
    /** Serializes everything that changes term, vote or log on behalf of others. */
    readonly lock: Mutex;
    /** Serializes apply and snapshot installation. */
    readonly applyLock: Mutex;
    readonly committed: Notifier;
    readonly applied: Notifier;
    readonly membershipChanged: Notifier;
    readonly stopped: AbortController;
    readonly publishState: () => void;
    /** Stops the replica for good. */
    readonly fail: (error: unknown) => void;
};

export function now(context: ReplicaContext): number {
    return context.clock.monotonicMilliseconds();
}

export function currentMembers(context: ReplicaContext): readonly Member[] {
    return context.memberships.at(-1)?.members ?? [];
}

export function membersAt(context: ReplicaContext, index: number): readonly Member[] {
    return context.memberships.findLast(record => record.index <= index)?.members ?? [];
}

export function isSelfVoter(context: ReplicaContext): boolean {
    return isVoter(currentMembers(context), context.self, context.storage.storeId);
}

/**
 * Whether this replica may stand for election: as a voter, or while the membership without it is not known to be
 * committed. Otherwise nobody could lead when only this replica holds that membership and others need its vote.
 */
export function canCampaign(context: ReplicaContext): boolean {
    const committed = context.memberships.findLastIndex(record => record.index <= context.commitIndex);
    return context.memberships.slice(Math.max(0, committed))
        .some(record => isVoter(record.members, context.self, context.storage.storeId));
}

export function setLeader(context: ReplicaContext, leader: string | undefined): void {
    context.leader = leader;
    context.leaderlessSince = leader === undefined ? context.leaderlessSince ?? now(context) : undefined;
}

/** True while no message tells otherwise: role leader of the given leadership. */
export function isCurrent(context: ReplicaContext, leadership: Leadership): boolean {
    return context.leadership === leadership;
}

/** Sets a new random election deadline, counted from now. */
export function resetElectionDeadline(context: ReplicaContext): void {
    const { minimum, maximum } = context.options.electionTimeoutMilliseconds;
    context.electionDeadline = now(context) + minimum + context.options.random() * (maximum - minimum);
}

/** Takes over the membership that an entry holds. Returns whether it holds one. */
export function recordMembership(context: ReplicaContext, entry: StoredEntry): boolean {
    if (entryType(entry.payload) !== EntryType.Membership) {
        return false;
    }
    context.memberships.push({ index: entry.index, members: decodeMembers(entryContent(entry.payload)) });
    return true;
}

/** Appends entries, takes over the memberships they hold, and resolves once they are durable. */
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

/** Removes a conflicting end of the log. */
export async function truncateEntries(context: ReplicaContext, index: number): Promise<void> {
    if (index <= context.commitIndex) {
        throw new ConsensusViolationError(`A leader asked to remove the committed entry ${index}.`);
    }
    context.memberships = context.memberships.filter(record => record.index < index);
    context.durableIndex = Math.min(context.durableIndex, index - 1);
    context.membershipChanged.notify();
    context.publishState();
    await context.storage.truncateFrom(index);
}

/** Takes over a term and vote durably. The caller holds the lock. */
export async function saveTerm(context: ReplicaContext, term: number, votedFor: string | undefined): Promise<void> {
    if (term === context.term && votedFor === context.votedFor) {
        return;
    }
    context.term = term;
    context.votedFor = votedFor;
    await context.storage.saveHardState({ term, votedFor });
}
