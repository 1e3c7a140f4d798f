/**
 * A replica of a replicated log, based on Raft with pre-vote, check quorum, leader lease and learners.
 */
import type { Stream } from "most";
import { from as streamFrom } from "most";
import { StorageError } from "../storage/storage-error.js";
import { loadState, runApplier } from "./applier.js";
import type { ReplicaContext } from "./context.js";
import * as contexts from "./context.js";
import { campaign, handleVote, runElections } from "./election.js";
import { ConsensusViolationError, ProposalRefusedError } from "./errors.js";
import { handleAppend, handleSnapshot } from "./follower.js";
import { becomeFollower, holdsLease, proposeEntry } from "./leadership.js";
import { changeMembership } from "./membership-changes.js";
import type { ConsensusReply, ConsensusRequest, ReadIndexReply, TransferReply, TransferRequest } from "./messages.js";
import { ConsensusMessageKind } from "./messages.js";
import { encodeEntry, EntryType } from "./payloads.js";
import { confirmReadIndex, readBarrier } from "./reads.js";
import type { Replica, ReplicaOptions, ReplicaStatus } from "./replica-types.js";
import { ReplicaRole, resolveOptions } from "./replica-types.js";
import { superviseLeadership, transferLeadership } from "./supervision.js";
import { createMutex, createNotifier, createSharedAbortController } from "./waiting.js";

/**
 * Creates a replica, which is inactive until `start` is called.
 *
 * @throws RangeError when the leader lease could outlast the minimum election timeout.
 */
export function createReplica(replicaOptions: ReplicaOptions): Replica {
    const listeners = new Set<(status: ReplicaStatus) => void>();
    if (replicaOptions.onStateChange !== undefined) {
        listeners.add(replicaOptions.onStateChange);
    }
    const context = createContext(replicaOptions, listeners);
    let ready: Promise<void> | undefined;

    const onElected = () => {
        const { leadership } = context;
        if (leadership !== undefined) {
            superviseLeadership(context, leadership).catch(context.fail);
        }
    };

    const initialize = async () => {
        await loadState(context);
        if (context.stopped.signal.aborted) {
            return;
        }
        context.leaderContactAt = contexts.now(context);
        contexts.setLeader(context, undefined);
        context.publishState();
        runElections(context, onElected).catch(context.fail);
        runApplier(context).catch(context.fail);
    };

    const start = () => {
        ready ??= initialize().catch(context.fail);
    };

    const stop = async () => {
        halt(context);
        await ready;
        // Waits for running handlers and applies, so that the caller can close the storage.
        await context.lock(() => context.applyLock(() => Promise.resolve()));
    };

    const handle = async (_from: string, message: ConsensusRequest): Promise<ConsensusReply> => {
        if (message.groupId !== context.options.groupId) {
            throw new Error(`This replica belongs to group ${context.options.groupId}, not ${message.groupId}.`);
        }
        if (ready === undefined) {
            throw new Error("The replica has not started.");
        }
        await ready;
        if (context.stopped.signal.aborted) {
            throw new Error("The replica has stopped.", { cause: context.failure });
        }
        return handleRequest(context, message, onElected).catch((error: unknown) => {
            if (error instanceof StorageError || error instanceof ConsensusViolationError) {
                context.fail(error);
            }
            throw error;
        });
    };

    return {
        start,
        stop,
        handle,
        propose: payload => propose(context, payload),
        readBarrier: () => readBarrier(context),
        holdsLeaderLease: () => holdsLease(context),
        leadingForMilliseconds: () => {
            const since = holdsLease(context) ? context.leadership?.leaseHeldSince : undefined;
            return since === undefined ? undefined : contexts.now(context) - since;
        },
        leaderlessForMilliseconds: () =>
            context.leaderlessSince === undefined ? 0 : contexts.now(context) - context.leaderlessSince,
        silentForMilliseconds: name => {
            const peer = context.leadership?.peers.get(name);
            return peer === undefined
                ? undefined
                : contexts.now(context) - Math.max(peer.acknowledgedSentAt, peer.progressedAt);
        },
        changeMembership: change => changeMembership(context, change),
        transferLeadership: target => transferLeadership(context, target),
        status: () => statusOf(context),
        stateChanges: createStatusStream(listeners),
    };
}

function createContext(
    replicaOptions: ReplicaOptions,
    listeners: ReadonlySet<(status: ReplicaStatus) => void>,
): ReplicaContext {
    const options = resolveOptions(replicaOptions);
    const { storage } = options;
    const members = options.initialVoters.map(({ name, storeId }) => ({ name, storeId, isVoter: true }));
    const context: ReplicaContext = {
        options,
        clock: options.clock,
        storage,
        self: options.self,
        role: ReplicaRole.Follower,
        term: Math.max(storage.hardState.term, storage.lastTerm),
        votedFor: storage.hardState.term >= storage.lastTerm ? storage.hardState.votedFor : undefined,
        leader: undefined,
        leaderlessSince: undefined,
        leaderContactAt: -Infinity,
        electionDeadline: Infinity,
        isPreVoting: false,
        commitIndex: 0,
        appliedIndex: 0,
        durableIndex: 0,
        memberships: [{ index: 0, members }],
        leadership: undefined,
        incomingSnapshot: undefined,
        isCompacting: false,
        failure: undefined,
        lock: createMutex(),
        applyLock: createMutex(),
        committed: createNotifier(),
        applied: createNotifier(),
        membershipChanged: createNotifier(),
        stopped: createSharedAbortController(),
        publishState: () => {
            const status = statusOf(context);
            listeners.forEach(listener => listener(status));
        },
        fail: error => {
            if (!context.stopped.signal.aborted) {
                context.failure = error instanceof Error ? error : new Error(String(error));
                context.options.counters.increment("consensus.failed");
                halt(context);
            }
        },
    };
    return context;
}

/** Stops all tasks of the replica; does not wait for running handlers. */
function halt(context: ReplicaContext): void {
    if (context.stopped.signal.aborted) {
        return;
    }
    context.role = ReplicaRole.Stopped;
    context.stopped.abort();
    becomeFollower(context, undefined);
}

function handleRequest(
    context: ReplicaContext,
    message: ConsensusRequest,
    onElected: () => void,
): Promise<ConsensusReply> {
    switch (message.kind) {
        case ConsensusMessageKind.Vote:
            return context.lock(() => handleVote(context, message));
        case ConsensusMessageKind.Append:
            return handleAppend(context, message);
        case ConsensusMessageKind.Snapshot:
            return handleSnapshot(context, message);
        case ConsensusMessageKind.Transfer:
            return Promise.resolve(handleTransfer(context, message, onElected));
        case ConsensusMessageKind.ReadIndex:
            return handleReadIndex(context);
        case ConsensusMessageKind.Identify:
            return Promise.resolve({ kind: message.kind, storeId: context.storage.storeId });
    }
}

function handleTransfer(context: ReplicaContext, request: TransferRequest, onElected: () => void): TransferReply {
    const isAccepted = request.term === context.term && context.leadership === undefined
        && contexts.isSelfVoter(context);
    if (isAccepted) {
        contexts.resetElectionDeadline(context);
        campaign(context, true, onElected).catch(context.fail);
    }
    return { kind: ConsensusMessageKind.Transfer, isAccepted };
}

async function handleReadIndex(context: ReplicaContext): Promise<ReadIndexReply> {
    const index = await confirmReadIndex(context).catch(() => undefined);
    return { kind: ConsensusMessageKind.ReadIndex, index, leader: context.leader };
}

function propose(context: ReplicaContext, payload: Uint8Array): Promise<{ index: number; result: unknown }> {
    if (payload.length > context.options.maximumPayloadBytes) {
        return Promise.reject(
            new ProposalRefusedError(
                "propose",
                `A payload of ${payload.length} bytes exceeds the limit of ${context.options.maximumPayloadBytes}.`,
            ),
        );
    }
    return proposeEntry(context, "propose", encodeEntry(EntryType.Command, payload));
}

function statusOf(context: ReplicaContext): ReplicaStatus {
    const members = contexts.currentMembers(context);
    const peers = [...context.leadership?.peers.values() ?? []];
    return {
        role: context.role,
        term: context.term,
        leader: context.leader,
        storeId: context.storage.storeId,
        firstIndex: context.storage.firstIndex,
        lastIndex: context.storage.lastIndex,
        commitIndex: context.commitIndex,
        appliedIndex: context.appliedIndex,
        members,
        matchIndex: Object.fromEntries(peers.map(peer => [peer.name, peer.matchIndex])),
        replacedStores: peers.flatMap(({ name, storeId }) => {
            const member = members.find(candidate => candidate.name === name);
            return storeId !== undefined && member?.storeId !== storeId ? [{ name, storeId }] : [];
        }),
        failure: context.failure,
    };
}

/** Creates a stream that emits each status passed to the listeners. */
function createStatusStream(listeners: Set<(status: ReplicaStatus) => void>): Stream<ReplicaStatus> {
    const observable = {
        subscribe: (observer: { next: (status: ReplicaStatus) => void }) => {
            const listener = (status: ReplicaStatus) => observer.next(status);
            listeners.add(listener);
            return { unsubscribe: () => listeners.delete(listener) };
        },
        [Symbol.observable]() {
            return observable;
        },
    };
    return streamFrom(observable as unknown as ReplicaStatus[]);
}
