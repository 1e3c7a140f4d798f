/**
 * Applying of committed entries, log compaction by snapshots, and installation of snapshots received from a leader.
 */
import type { StoredEntry, StoredSnapshot } from "../storage/log-storage.js";
import type { ReplicaContext } from "./context.js";
import * as contexts from "./context.js";
import { becomeFollower } from "./leadership.js";
import { decodeSnapshotPayload, encodeSnapshotPayload, entryContent, EntryType, entryType } from "./payloads.js";
import { waitUntil, yieldToOtherTasks } from "./waiting.js";

/** These limits bound the memory of one batch. */
const APPLY_BATCH_ENTRIES = 256;
const APPLY_BATCH_BYTES = 4 * 1024 * 1024;
/** Time for which entries are applied in one turn of the event loop, in milliseconds; one entry may exceed it. */
const APPLY_STEP_MS = 4;

/** Applies entries to the state machine as they are committed, until the replica stops. */
export async function runApplier(context: ReplicaContext): Promise<void> {
    const { signal } = context.stopped;
    const hasWork = () => context.appliedIndex < context.commitIndex;
    while (await waitUntil(context.clock, hasWork, context.committed, signal)) {
        await context.applyLock(() => applyBatch(context));
        startCompaction(context);
    }
}

async function applyBatch(context: ReplicaContext): Promise<void> {
    const from = context.appliedIndex + 1;
    const to = Math.min(context.commitIndex + 1, from + APPLY_BATCH_ENTRIES);
    const entries = from < to ? await context.storage.read(from, to, APPLY_BATCH_BYTES) : [];
    let stepEndsAt = contexts.now(context) + APPLY_STEP_MS;
    for (const entry of entries) {
        if (contexts.now(context) >= stepEndsAt) {
            await yieldToOtherTasks();
            stepEndsAt = contexts.now(context) + APPLY_STEP_MS;
        }
        applyEntry(context, entry);
    }
    context.applied.notify();
}

function applyEntry(context: ReplicaContext, entry: StoredEntry): void {
    if (context.stopped.signal.aborted || entry.index !== context.appliedIndex + 1) {
        return;
    }
    const type = entryType(entry.payload);
    const result = type === EntryType.Command
        ? context.options.apply({ ...entry, payload: entryContent(entry.payload) })
        : undefined;
    context.appliedIndex = entry.index;
    const { leadership } = context;
    if (leadership !== undefined && leadership.term === entry.term) {
        const proposal = leadership.pendingProposals.get(entry.index);
        leadership.pendingProposals.delete(entry.index);
        leadership.pendingBytes -= proposal === undefined ? 0 : entry.payload.length;
        proposal?.resolve({ index: entry.index, result });
    }
    if (type === EntryType.Membership) {
        stepDownIfRemoved(context);
        context.publishState();
    }
}

/**
 * Ends the leadership of a leader that is no longer a voter once the membership without it is committed and applied.
 */
function stepDownIfRemoved(context: ReplicaContext): void {
    const isCommitted = (context.memberships.at(-1)?.index ?? 0) <= context.appliedIndex;
    if (context.leadership !== undefined && isCommitted && !contexts.isSelfVoter(context)) {
        becomeFollower(context, undefined);
    }
}

/**
 * Compacts the applied log into a snapshot once it is long enough; entries are applied while the snapshot is written.
 */
function startCompaction(context: ReplicaContext): void {
    const snapshotIndex = context.storage.snapshot?.index ?? 0;
    const { signal } = context.stopped;
    if (
        context.isCompacting || signal.aborted ||
        context.appliedIndex - snapshotIndex < context.options.snapshotEveryEntries
    ) {
        return;
    }
    const index = context.appliedIndex;
    const term = context.storage.termAt(index);
    if (term === undefined) {
        return;
    }
    context.isCompacting = true;
    const payload = encodeSnapshotPayload(contexts.membersAt(context, index), context.options.takeSnapshot());
    context.storage.saveSnapshot({ index, term, payload })
        .then(() => {
            const firstKept = context.memberships.findLastIndex(record => record.index <= index);
            context.memberships = context.memberships.slice(Math.max(0, firstKept));
            context.isCompacting = false;
            context.options.counters.increment("consensus.snapshots");
        })
        .catch(context.fail);
}

/** Replaces the local state with a snapshot received from the leader. The caller holds the lock. */
export async function installSnapshot(context: ReplicaContext, snapshot: StoredSnapshot): Promise<void> {
    await context.applyLock(async () => {
        const isLogKept = context.storage.termAt(snapshot.index) === snapshot.term;
        await context.storage.saveSnapshot(snapshot, !isLogKept);
        const { members, state } = decodeSnapshotPayload(snapshot.payload);
        const laterMemberships = isLogKept ? context.memberships.filter(record => record.index > snapshot.index) : [];
        context.memberships = [{ index: snapshot.index, members }, ...laterMemberships];
        context.durableIndex = isLogKept ? Math.max(context.durableIndex, snapshot.index) : snapshot.index;
        context.options.restoreSnapshot(state, snapshot.index);
        context.appliedIndex = snapshot.index;
        context.commitIndex = Math.max(context.commitIndex, snapshot.index);
        context.options.counters.increment("consensus.snapshots_installed");
    });
    context.applied.notify();
    context.publishState();
}

/** Restores the snapshot and the memberships from the storage. */
export async function loadState(context: ReplicaContext): Promise<void> {
    const { storage } = context;
    const { snapshot } = storage;
    if (snapshot !== undefined) {
        const { members, state } = decodeSnapshotPayload(snapshot.payload);
        context.memberships = [{ index: snapshot.index, members }];
        context.options.restoreSnapshot(state, snapshot.index);
    }
    context.commitIndex = snapshot?.index ?? 0;
    context.appliedIndex = context.commitIndex;
    context.durableIndex = storage.lastIndex;
    for (let from = context.commitIndex + 1; from <= storage.lastIndex;) {
        const entries = await storage.read(from, from + APPLY_BATCH_ENTRIES, APPLY_BATCH_BYTES);
        entries.filter(entry => entryType(entry.payload) === EntryType.Membership).forEach(entry => {
            contexts.recordMembership(context, entry);
        });
        from += entries.length;
    }
}
