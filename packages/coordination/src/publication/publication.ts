/**
 * In-memory key/value store with revisions, read by long polling: readers receive the deltas after the revision that
 * they hold, or a snapshot when the history does not reach back that far.
 */
import type { Stream } from "most";
import type { Clock } from "../clock/clock.js";
import { type Counters, NO_COUNTERS } from "../counters/counters.js";
import { encodeFrame, MAXIMUM_FRAME_BYTES } from "../framing/frames.js";
import { createBroadcast } from "./broadcast.js";
import {
    BatchKind,
    type DeltaBatch,
    MAXIMUM_KEY_LENGTH,
    type PublicationBatch,
    type PublishedItem,
    type SnapshotBatch,
    type SnapshotCursor,
} from "./messages.js";

/** Longest encoded item. Leaves space in a frame for the fields around the item. */
export const MAXIMUM_ITEM_BYTES = MAXIMUM_FRAME_BYTES - 64 * 1024;
/** Target size of a batch. Well below the longest frame, because heartbeats queue behind a batch. */
export const TARGET_BATCH_BYTES = 512 * 1024;
/** Items that the history keeps; each revision counts as one more item. */
export const MAXIMUM_HISTORY_ITEMS = 4_096;
/** Encoded bytes that the history keeps. */
export const MAXIMUM_HISTORY_BYTES = 8 * 1024 * 1024;
/** Snapshots that are cached for readers that read them in several chunks. */
const MAXIMUM_CACHED_SNAPSHOTS = 2;
/** A snapshot that is not read for this long is evicted at the next change, as it keeps replaced values in memory. */
const SNAPSHOT_CACHE_TIMEOUT_MS = 30_000;

/** Abort reason of a wait that ends early. A constant, because a default reason costs a stack trace. */
const PUBLICATION_CHANGED = new Error("The publication has changed.");

/** Change to one key; a value of undefined deletes it. */
export type PublicationChange = { readonly key: string; readonly value: unknown };

/** In-memory key/value store whose changes can be read by revision. */
export type Publication = {
    /** Revision of the last change. */
    readonly revision: number;
    /** Oldest revision after which deltas are still available. */
    readonly oldestRevision: number;
    /** Returns the value of a key, or undefined when it is absent. */
    get(key: string): unknown;
    /** Returns the current items, without deleted ones. */
    items(): readonly PublishedItem[];
    /**
     * Publishes the changes of one revision atomically. A value of undefined deletes the key.
     *
     * @throws RangeError when the revision is not above the current one, or an item or its key is too long.
     * @throws FrameError when an item cannot be encoded in a frame.
     */
    publish(revision: number, changes: readonly PublicationChange[]): void;
    /**
     * Replaces the full state, for a follower that is too far behind for deltas.
     *
     * @throws RangeError or FrameError as `publish`.
     */
    replace(revision: number, items: readonly PublishedItem[]): void;
    /**
     * Reads the changes after a revision, as a long poll.
     *
     * @param afterRevision Revision that the reader holds.
     * @param waitMilliseconds Longest wait for a change.
     * @param signal Cancels the wait.
     * @param cursor Continues a snapshot. A snapshot that is no longer cached restarts at position 0.
     * @returns A delta, a chunk of a snapshot, or an empty delta after the wait. A reader that is ahead of this
     *     publication immediately receives an empty delta with the lower revision.
     */
    read(
        afterRevision: number,
        waitMilliseconds: number,
        signal: AbortSignal,
        cursor?: SnapshotCursor,
    ): Promise<PublicationBatch>;
    /** Stream of the changes made from now on, in order. A replaced state is emitted as one snapshot. */
    readonly changes: Stream<PublicationBatch>;
};

type CachedSnapshot = { readonly items: readonly PublishedItem[]; readAt: number };
type HistoryEntry = { readonly revision: number; readonly items: readonly PublishedItem[]; readonly bytes: number };

/**
 * Creates an empty publication.
 *
 * @param options.revision Revision of the empty state; 0 by default.
 * @param options.historyItems Items that the history keeps; each revision counts as one more item.
 * @param options.historyBytes Encoded bytes that the history keeps.
 * @param options.batchBytes Target size of a batch in encoded bytes.
 */
export function createPublication(options: {
    readonly clock: Clock;
    readonly counters?: Counters;
    readonly revision?: number;
    readonly historyItems?: number;
    readonly historyBytes?: number;
    readonly batchBytes?: number;
}): Publication {
    const { clock } = options;
    const counters = options.counters ?? NO_COUNTERS;
    const historyItems = options.historyItems ?? MAXIMUM_HISTORY_ITEMS;
    const historyBytes = options.historyBytes ?? MAXIMUM_HISTORY_BYTES;
    const batchBytes = options.batchBytes ?? TARGET_BATCH_BYTES;
    const state = new Map<string, PublishedItem>();
    const encodedSizes = new WeakMap<PublishedItem, number>();
    const snapshots = new Map<number, CachedSnapshot>();
    const wakeCallbacks = new Set<() => void>();
    const broadcast = createBroadcast<PublicationBatch>();
    let history: HistoryEntry[] = [];
    let historyItemCount = 0;
    let historyByteCount = 0;
    let revision = options.revision ?? 0;
    let oldestRevision = revision;

    const sizeOf = (item: PublishedItem) => encodedSizes.get(item) ?? 0;
    const requireHigherRevision = (newRevision: number) => {
        if (!Number.isSafeInteger(newRevision) || newRevision <= revision) {
            throw new RangeError(`Revision ${newRevision} is not above the published revision ${revision}.`);
        }
    };
    const validateAndMeasure = (item: PublishedItem) => {
        const bytes = encodeFrame(item).length;
        if (bytes > MAXIMUM_ITEM_BYTES || item.key.length > MAXIMUM_KEY_LENGTH) {
            throw new RangeError(`The item ${item.key.slice(0, MAXIMUM_KEY_LENGTH)} is too long to be published.`);
        }
        encodedSizes.set(item, bytes);
        return bytes;
    };
    const wakeReaders = () => {
        const readers = [...wakeCallbacks];
        wakeCallbacks.clear();
        readers.forEach(wake => wake());
    };
    const evictUnreadSnapshots = () => {
        const oldest = clock.monotonicMilliseconds() - SNAPSHOT_CACHE_TIMEOUT_MS;
        [...snapshots].filter(([, cached]) => cached.readAt < oldest).forEach(([key]) => snapshots.delete(key));
    };
    const trimHistory = () => {
        let dropped = 0;
        while (historyItemCount > historyItems || historyByteCount > historyBytes) {
            const entry = history[dropped] as HistoryEntry;
            historyItemCount -= entry.items.length + 1;
            historyByteCount -= entry.bytes;
            oldestRevision = entry.revision;
            dropped += 1;
        }
        history = dropped === 0 ? history : history.slice(dropped);
    };

    const publish = (newRevision: number, changes: readonly PublicationChange[]) => {
        requireHigherRevision(newRevision);
        const items = changes.map(({ key, value }) => ({ key, revision: newRevision, value }));
        const bytes = items.reduce((sum, item) => sum + validateAndMeasure(item), 0);
        items.forEach(item => item.value === undefined ? state.delete(item.key) : state.set(item.key, item));
        const afterRevision = revision;
        revision = newRevision;
        history.push({ revision: newRevision, items, bytes });
        // An entry counts as one more item, so that revisions without changes cannot grow the history without bound.
        historyItemCount += items.length + 1;
        historyByteCount += bytes;
        trimHistory();
        counters.gauge("publication.revision", revision);
        evictUnreadSnapshots();
        wakeReaders();
        broadcast.emit({ kind: BatchKind.Delta, afterRevision, revision, items });
    };

    const replace = (newRevision: number, items: readonly PublishedItem[]) => {
        requireHigherRevision(newRevision);
        items.forEach(validateAndMeasure);
        state.clear();
        items.forEach(item => state.set(item.key, item));
        revision = newRevision;
        oldestRevision = newRevision;
        history = [];
        historyItemCount = 0;
        historyByteCount = 0;
        counters.gauge("publication.revision", revision);
        evictUnreadSnapshots();
        wakeReaders();
        broadcast.emit({ kind: BatchKind.Snapshot, revision, position: 0, items: [...items], isLast: true });
    };

    /** Returns the items from a position up to the target size of a batch, but at least one. */
    const takeChunk = (items: readonly PublishedItem[], position: number) => {
        let end = position;
        for (let bytes = 0; end < items.length; end += 1) {
            bytes += sizeOf(items[end] as PublishedItem);
            if (bytes > batchBytes && end > position) {
                break;
            }
        }
        return items.slice(position, end);
    };

    const cacheSnapshot = (): CachedSnapshot => {
        const cached = { items: [...state.values()], readAt: clock.monotonicMilliseconds() };
        snapshots.set(revision, cached);
        [...snapshots.keys()].slice(0, -MAXIMUM_CACHED_SNAPSHOTS).forEach(key => snapshots.delete(key));
        return cached;
    };
    const readSnapshot = (cursor: SnapshotCursor | undefined): SnapshotBatch => {
        const isCached = cursor !== undefined && snapshots.has(cursor.revision);
        const start = isCached ? cursor : { revision, position: 0 };
        const cached = snapshots.get(start.revision) ?? cacheSnapshot();
        cached.readAt = clock.monotonicMilliseconds();
        const chunk = takeChunk(cached.items, start.position);
        const isLast = start.position + chunk.length >= cached.items.length;
        return { kind: BatchKind.Snapshot, revision: start.revision, position: start.position, items: chunk, isLast };
    };

    /** Reads whole revisions up to the target size of a batch. Undefined when the first is too long for a delta. */
    const readDelta = (afterRevision: number): DeltaBatch | undefined => {
        const entries: HistoryEntry[] = [];
        let bytes = 0;
        for (let index = findFirstAfter(history, afterRevision); index < history.length; index += 1) {
            const entry = history[index] as HistoryEntry;
            bytes += entry.bytes;
            if (bytes > batchBytes && entries.length > 0) {
                break;
            }
            if (bytes > MAXIMUM_ITEM_BYTES) {
                return undefined;
            }
            entries.push(entry);
        }
        const lastRevision = entries.at(-1)?.revision ?? revision;
        return {
            kind: BatchKind.Delta,
            afterRevision,
            revision: lastRevision,
            items: entries.flatMap(entry => entry.items),
        };
    };

    const waitForChange = async (waitMilliseconds: number, signal: AbortSignal) => {
        const wakeController = new AbortController();
        const wake = () => wakeController.abort(PUBLICATION_CHANGED);
        wakeCallbacks.add(wake);
        signal.addEventListener("abort", wake, { once: true });
        await clock.sleep(waitMilliseconds, wakeController.signal).catch(() => undefined);
        signal.removeEventListener("abort", wake);
        wakeCallbacks.delete(wake);
        signal.throwIfAborted();
    };

    return {
        get revision() {
            return revision;
        },
        get oldestRevision() {
            return oldestRevision;
        },
        get: key => state.get(key)?.value,
        items: () => [...state.values()],
        publish,
        replace,
        read: async (afterRevision, waitMilliseconds, signal, cursor) => {
            signal.throwIfAborted();
            if (cursor !== undefined) {
                return readSnapshot(cursor);
            }
            if (afterRevision === revision && waitMilliseconds > 0) {
                await waitForChange(waitMilliseconds, signal);
            }
            if (afterRevision < oldestRevision) {
                return readSnapshot(undefined);
            }
            return readDelta(afterRevision) ?? readSnapshot(undefined);
        },
        changes: broadcast.stream,
    };
}

/** Binary search for the index of the first entry above a revision; entries are in ascending order. */
function findFirstAfter(entries: readonly HistoryEntry[], revision: number): number {
    let low = 0;
    let high = entries.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if ((entries[middle] as HistoryEntry).revision > revision) {
            high = middle;
        }
        else {
            low = middle + 1;
        }
    }
    return low;
}
