/**
 * Handling of append requests and snapshot chunks from a leader.
 */
import { installSnapshot } from "./applier.js";
import type { ReplicaContext } from "./context.js";
import * as contexts from "./context.js";
import { ConsensusViolationError } from "./errors.js";
import { becomeFollower } from "./leadership.js";
import type { AppendReply, AppendRequest, SnapshotReply, SnapshotRequest } from "./messages.js";
import { ConsensusMessageKind } from "./messages.js";

/** Recognizes the sender as leader of its term. The caller holds the lock. Returns false when the term is stale. */
async function recognizeLeader(context: ReplicaContext, term: number, leader: string): Promise<boolean> {
    if (term < context.term) {
        return false;
    }
    if (context.leadership !== undefined && term === context.term) {
        throw new ConsensusViolationError(`${leader} claims to be the leader of term ${term}, but this replica is.`);
    }
    becomeFollower(context, leader);
    context.leaderContactAt = contexts.now(context);
    contexts.resetElectionDeadline(context);
    if (term > context.term) {
        await contexts.saveTerm(context, term, undefined);
    }
    return true;
}

type AppendOutcome = { readonly reply: AppendReply; readonly durable?: Promise<void> };

/** Handles an append request or heartbeat; new entries are durable before the reply. */
export async function handleAppend(context: ReplicaContext, request: AppendRequest): Promise<AppendReply> {
    const { reply, durable } = await context.lock(() => appendFromLeader(context, request));
    if (durable === undefined) {
        return { ...reply, index: reply.isAccepted ? Math.min(reply.index, context.durableIndex) : reply.index };
    }
    // Waits outside the lock, so that appends that arrive meanwhile share the next fsync.
    await durable.catch((error: unknown) => {
        context.fail(error);
        throw error;
    });
    return { ...reply, index: Math.min(reply.index, context.durableIndex) };
}

async function appendFromLeader(context: ReplicaContext, request: AppendRequest): Promise<AppendOutcome> {
    const reply = (isAccepted: boolean, index: number): AppendReply => ({
        kind: ConsensusMessageKind.Append,
        term: context.term,
        storeId: context.storage.storeId,
        isAccepted,
        index,
        preference: context.options.leadershipPreference,
    });
    if (!await recognizeLeader(context, request.term, request.leader)) {
        return { reply: reply(false, 0) };
    }
    const { storage } = context;
    const { previousIndex, previousTerm, entries } = request;
    if (entries.some((entry, position) => entry.index !== previousIndex + 1 + position)) {
        throw new RangeError(`The entries from ${request.leader} are not consecutive.`);
    }
    if (previousIndex > storage.lastIndex) {
        return { reply: reply(false, storage.lastIndex + 1) };
    }
    // Committed entries are in the log of every later leader and need no comparison.
    if (previousIndex > context.commitIndex && storage.termAt(previousIndex) !== previousTerm) {
        return { reply: reply(false, firstIndexOfTerm(context, previousIndex)) };
    }
    const conflict = entries.find(entry =>
        entry.index > context.commitIndex && storage.termAt(entry.index) !== entry.term
    );
    if (conflict !== undefined && conflict.index <= storage.lastIndex) {
        await contexts.truncateEntries(context, conflict.index);
    }
    const newEntries = entries.filter(entry => entry.index > storage.lastIndex);
    const lastVerifiedIndex = previousIndex + entries.length;
    const durable = newEntries.length > 0 || (entries.length > 0 && lastVerifiedIndex > context.durableIndex)
        ? contexts.appendEntries(context, newEntries)
        : undefined;
    durable?.catch(() => undefined);
    const commitIndex = Math.min(request.commitIndex, lastVerifiedIndex);
    if (commitIndex > context.commitIndex) {
        context.commitIndex = commitIndex;
        context.committed.notify();
    }
    return { reply: reply(true, lastVerifiedIndex), durable };
}

/**
 * First uncommitted index of the term at `index`. The leader continues from it, so that a conflict takes one round trip
 * per term, not one per entry.
 */
function firstIndexOfTerm(context: ReplicaContext, index: number): number {
    const term = context.storage.termAt(index);
    let first = index;
    while (first - 1 > context.commitIndex && context.storage.termAt(first - 1) === term) {
        first--;
    }
    return first;
}

/**
 * Handles one chunk of a snapshot; the last chunk installs the snapshot.
 *
 * @throws RangeError when the snapshot exceeds the size limit.
 */
export async function handleSnapshot(context: ReplicaContext, request: SnapshotRequest): Promise<SnapshotReply> {
    return context.lock(async () => {
        const reply = (nextOffset: number, isInstalled: boolean): SnapshotReply => ({
            kind: ConsensusMessageKind.Snapshot,
            term: context.term,
            storeId: context.storage.storeId,
            nextOffset,
            isInstalled,
        });
        if (request.total > context.options.maximumSnapshotBytes) {
            throw new RangeError(`The snapshot of ${request.total} bytes exceeds the size limit of this replica.`);
        }
        if (!await recognizeLeader(context, request.term, request.leader)) {
            return reply(0, false);
        }
        if (request.index <= context.commitIndex) {
            context.incomingSnapshot = undefined;
            return reply(request.total, true);
        }
        const incoming = findIncomingSnapshot(context, request);
        if (incoming === undefined || incoming.received !== request.offset) {
            return reply(incoming?.received ?? 0, false);
        }
        incoming.chunks.push(request.chunk);
        incoming.received += request.chunk.length;
        if (incoming.received < request.total) {
            return reply(incoming.received, false);
        }
        context.incomingSnapshot = undefined;
        const payload = Buffer.concat(incoming.chunks);
        await installSnapshot(context, { index: request.index, term: request.snapshotTerm, payload });
        return reply(request.total, true);
    });
}

/** The partially received snapshot that a chunk belongs to; a chunk at offset 0 starts a new one. */
function findIncomingSnapshot(context: ReplicaContext, request: SnapshotRequest): ReplicaContext["incomingSnapshot"] {
    const { incomingSnapshot: incoming } = context;
    const isSame = incoming?.term === request.term && incoming.index === request.index
        && incoming.total === request.total;
    if (isSame) {
        return incoming;
    }
    context.incomingSnapshot = request.offset > 0
        ? undefined
        : { term: request.term, index: request.index, total: request.total, chunks: [], received: 0 };
    return context.incomingSnapshot;
}
