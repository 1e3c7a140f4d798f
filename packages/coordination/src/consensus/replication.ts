/**
 * Replication from the leader to its peers. Each peer has two tasks: one sends log entries and snapshots, the other
 * sends heartbeats.
 */
import type { StoredEntry, StoredSnapshot } from "../storage/log-storage.js";
import type { Leadership, PeerProgress, ReplicaContext } from "./context.js";
import * as contexts from "./context.js";
import { adoptReplyTerm, advanceCommitIndex } from "./leadership.js";
import type { AppendReply, AppendRequest, SnapshotReply, SnapshotRequest } from "./messages.js";
import { ConsensusMessageKind } from "./messages.js";
import { createNotifier, pause } from "./waiting.js";

/** Enough to pipeline appends between distant regions while a disk syncs; bounds the buffered bytes per peer. */
const MAXIMUM_APPENDS_IN_FLIGHT = 4;
/** Calls on an unresponsive connection last until their deadline; heartbeats continue meanwhile, up to this limit. */
const MAXIMUM_HEARTBEATS_IN_FLIGHT = 8;
const MAXIMUM_APPEND_ENTRIES = 512;
/** Stays well below the frame limit of 4 MiB even when one payload of the maximum size is added. */
const MAXIMUM_APPEND_BYTES = 1024 * 1024;
/** Commits within this interval are announced to a peer in one heartbeat. */
const COMMIT_NOTIFICATION_INTERVAL_MS = 5;

/** Starts the tasks for new members and ends those of removed members. */
export function updatePeers(context: ReplicaContext, leadership: Leadership): void {
    const members = contexts.currentMembers(context);
    members.filter(member => member.name !== context.self && !leadership.peers.has(member.name)).forEach(member => {
        const peer = createProgress(context, member.name);
        leadership.peers.set(member.name, peer);
        replicate(context, leadership, peer).catch(context.fail);
        runHeartbeats(context, leadership, peer).catch(context.fail);
    });
    [...leadership.peers.values()].filter(peer => members.every(member => member.name !== peer.name)).forEach(peer => {
        leadership.peers.delete(peer.name);
        peer.wakeReplication.notify();
        peer.wakeHeartbeat.notify();
    });
}

function createProgress(context: ReplicaContext, name: string): PeerProgress {
    return {
        name,
        storeId: undefined,
        // Starts at the last entry, so that it is sent as a probe even without new proposals.
        nextIndex: context.storage.lastIndex,
        matchIndex: 0,
        progressedAt: contexts.now(context),
        acknowledgedSentAt: -Infinity,
        respondingSince: undefined,
        preference: 0,
        isProbing: true,
        appendsInFlight: 0,
        heartbeatsInFlight: 0,
        retryAt: -Infinity,
        sentCommitIndex: 0,
        wakeReplication: createNotifier(),
        wakeHeartbeat: createNotifier(),
    };
}

function isActive(context: ReplicaContext, leadership: Leadership, peer: PeerProgress): boolean {
    return contexts.isCurrent(context, leadership) && leadership.peers.get(peer.name) === peer;
}

/** Sends periodic heartbeats, and an additional one soon after the commit index has advanced. */
async function runHeartbeats(context: ReplicaContext, leadership: Leadership, peer: PeerProgress): Promise<void> {
    const { signal } = leadership.ended;
    const neverNotified = createNotifier();
    while (isActive(context, leadership, peer)) {
        if (peer.heartbeatsInFlight < MAXIMUM_HEARTBEATS_IN_FLIGHT) {
            void sendHeartbeat(context, leadership, peer);
        }
        await pause(context.clock, COMMIT_NOTIFICATION_INTERVAL_MS, neverNotified, signal);
        if (peer.sentCommitIndex >= Math.min(context.commitIndex, peer.matchIndex)) {
            const remainingMilliseconds = context.options.heartbeatMilliseconds - COMMIT_NOTIFICATION_INTERVAL_MS;
            await pause(context.clock, remainingMilliseconds, peer.wakeHeartbeat, signal);
        }
    }
}

async function sendHeartbeat(context: ReplicaContext, leadership: Leadership, peer: PeerProgress): Promise<void> {
    // A heartbeat that overtakes in-flight appends is accepted, because it refers to the match index, which the peer
    // holds.
    const previousTerm = context.storage.termAt(peer.matchIndex);
    const previousIndex = previousTerm === undefined ? 0 : peer.matchIndex;
    peer.heartbeatsInFlight++;
    await sendAppend(context, leadership, peer, previousIndex, previousTerm ?? 0, []);
    peer.heartbeatsInFlight--;
}

/** Sends missing entries or a snapshot to the peer for as long as this leadership lasts. */
async function replicate(context: ReplicaContext, leadership: Leadership, peer: PeerProgress): Promise<void> {
    const { signal } = leadership.ended;
    while (isActive(context, leadership, peer)) {
        const waitMilliseconds = peer.retryAt - contexts.now(context);
        const hasCapacity = peer.appendsInFlight < (peer.isProbing ? 1 : MAXIMUM_APPENDS_IN_FLIGHT);
        if (waitMilliseconds > 0 || !hasCapacity || peer.nextIndex > context.storage.lastIndex) {
            const heartbeatInterval = context.options.heartbeatMilliseconds;
            await pause(
                context.clock,
                waitMilliseconds > 0 ? waitMilliseconds : heartbeatInterval,
                peer.wakeReplication,
                signal,
            );
            continue;
        }
        const from = peer.nextIndex;
        const previousTerm = context.storage.termAt(from - 1);
        const entries = previousTerm === undefined ? undefined : await readEntries(context, from);
        if (!isActive(context, leadership, peer) || peer.nextIndex !== from) {
            continue;
        }
        if (entries === undefined || previousTerm === undefined) {
            await sendSnapshot(context, leadership, peer);
            continue;
        }
        peer.appendsInFlight++;
        if (!peer.isProbing) {
            peer.nextIndex = from + entries.length;
        }
        void sendAppend(context, leadership, peer, from - 1, previousTerm, entries).then(() => {
            peer.appendsInFlight--;
            peer.wakeReplication.notify();
        });
    }
}

/** Reads the entries for one append; undefined when they have been compacted into a snapshot. */
async function readEntries(context: ReplicaContext, from: number): Promise<readonly StoredEntry[] | undefined> {
    try {
        return await context.storage.read(from, from + MAXIMUM_APPEND_ENTRIES, MAXIMUM_APPEND_BYTES);
    }
    catch (error) {
        if (error instanceof RangeError && from < context.storage.firstIndex) {
            return undefined;
        }
        throw error;
    }
}

/** Sends one append or heartbeat and processes the reply; the returned promise never rejects. */
async function sendAppend(
    context: ReplicaContext,
    leadership: Leadership,
    peer: PeerProgress,
    previousIndex: number,
    previousTerm: number,
    entries: readonly StoredEntry[],
): Promise<void> {
    const sentAt = contexts.now(context);
    const { commitIndex } = context;
    // Recorded before the reply: if the message is lost, the next heartbeat carries the commit index again.
    peer.sentCommitIndex = Math.max(peer.sentCommitIndex, Math.min(commitIndex, previousIndex + entries.length));
    const request: AppendRequest = {
        kind: ConsensusMessageKind.Append,
        groupId: context.options.groupId,
        term: leadership.term,
        leader: context.self,
        previousIndex,
        previousTerm,
        commitIndex,
        entries: [...entries],
    };
    try {
        const reply = await context.options.call(
            peer.name,
            request,
            context.options.electionTimeoutMilliseconds.minimum,
        );
        if (!isActive(context, leadership, peer) || reply.kind !== ConsensusMessageKind.Append) {
            return;
        }
        if (!recordAcknowledgement(context, leadership, peer, reply, sentAt)) {
            return;
        }
        peer.preference = reply.preference;
        handleAppendReply(context, leadership, peer, reply, previousIndex, entries.length);
    }
    catch {
        peer.respondingSince = undefined;
        if (entries.length > 0) {
            restartProbing(context, peer);
            peer.retryAt = contexts.now(context) + context.options.heartbeatMilliseconds;
        }
    }
}

function restartProbing(context: ReplicaContext, peer: PeerProgress): void {
    peer.isProbing = true;
    peer.nextIndex = Math.min(peer.matchIndex + 1, context.storage.lastIndex + 1);
}

function handleAppendReply(
    context: ReplicaContext,
    leadership: Leadership,
    peer: PeerProgress,
    reply: AppendReply,
    previousIndex: number,
    entryCount: number,
): void {
    if (!reply.isAccepted) {
        // A rejection at or below the match index is stale.
        if (previousIndex > peer.matchIndex) {
            peer.isProbing = true;
            peer.nextIndex = Math.max(peer.matchIndex + 1, Math.min(reply.index, previousIndex));
        }
        return;
    }
    if (entryCount > 0) {
        peer.isProbing = false;
    }
    if (reply.index > peer.matchIndex) {
        peer.matchIndex = reply.index;
        peer.progressedAt = contexts.now(context);
        peer.nextIndex = Math.max(peer.nextIndex, reply.index + 1);
        advanceCommitIndex(context, leadership);
    }
    if (entryCount > 0 && peer.matchIndex < previousIndex + entryCount) {
        // The peer did not keep all entries; without a new probe they would be resent only after the next proposal.
        restartProbing(context, peer);
        peer.retryAt = contexts.now(context) + context.options.heartbeatMilliseconds;
    }
}

/**
 * Updates the progress of a peer with the term and store of its reply.
 *
 * @param sentAt Monotonic time before the request was sent, in milliseconds; the leader lease counts from it.
 * @returns False when the peer did not acknowledge this leader in its term.
 */
function recordAcknowledgement(
    context: ReplicaContext,
    leadership: Leadership,
    peer: PeerProgress,
    reply: AppendReply | SnapshotReply,
    sentAt: number,
): boolean {
    if (reply.term !== leadership.term) {
        adoptReplyTerm(context, reply.term);
        return false;
    }
    if (peer.storeId !== reply.storeId) {
        peer.storeId = reply.storeId;
        peer.matchIndex = 0;
        peer.progressedAt = contexts.now(context);
        peer.sentCommitIndex = 0;
        peer.acknowledgedSentAt = -Infinity;
        peer.isProbing = true;
        peer.respondingSince = undefined;
        context.publishState();
    }
    peer.acknowledgedSentAt = Math.max(peer.acknowledgedSentAt, sentAt);
    peer.respondingSince ??= contexts.now(context);
    leadership.acknowledged.notify();
    return true;
}

/** Sends the stored snapshot in chunks; each reply contains the next offset. */
async function sendSnapshot(context: ReplicaContext, leadership: Leadership, peer: PeerProgress): Promise<void> {
    const { snapshot } = context.storage;
    if (snapshot === undefined) {
        throw new Error("The log has been compacted, but the storage has no snapshot.");
    }
    context.options.counters.increment("consensus.snapshots_sent");
    let offset = 0;
    while (isActive(context, leadership, peer)) {
        const reply = await sendSnapshotChunk(context, leadership, peer, snapshot, offset);
        if (reply === undefined) {
            peer.respondingSince = undefined;
            peer.retryAt = contexts.now(context) + context.options.heartbeatMilliseconds;
            return;
        }
        peer.progressedAt = contexts.now(context);
        if (reply.isInstalled) {
            peer.matchIndex = Math.max(peer.matchIndex, snapshot.index);
            peer.nextIndex = Math.max(peer.nextIndex, snapshot.index + 1);
            advanceCommitIndex(context, leadership);
            return;
        }
        offset = reply.nextOffset;
    }
}

async function sendSnapshotChunk(
    context: ReplicaContext,
    leadership: Leadership,
    peer: PeerProgress,
    snapshot: StoredSnapshot,
    offset: number,
): Promise<SnapshotReply | undefined> {
    const sentAt = contexts.now(context);
    const request: SnapshotRequest = {
        kind: ConsensusMessageKind.Snapshot,
        groupId: context.options.groupId,
        term: leadership.term,
        leader: context.self,
        index: snapshot.index,
        snapshotTerm: snapshot.term,
        offset,
        total: snapshot.payload.length,
        chunk: snapshot.payload.subarray(offset, offset + context.options.snapshotChunkBytes),
    };
    // A chunk whose reply misses the deadline is sent again, such as the last one while a large snapshot is written.
    const { maximum } = context.options.electionTimeoutMilliseconds;
    const reply = await context.options.call(peer.name, request, maximum).catch(() => undefined);
    const isReply = reply?.kind === ConsensusMessageKind.Snapshot && isActive(context, leadership, peer);
    return isReply && recordAcknowledgement(context, leadership, peer, reply, sentAt) ? reply : undefined;
}
