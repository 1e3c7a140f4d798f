/**
 * Log storage in a data folder: the write-ahead log, the vote and the snapshot of one replica of a Raft group.
 */
import { join } from "node:path";
import type { Counters } from "../counters/counters.js";
import { NO_COUNTERS } from "../counters/counters.js";
import type { FileSystem } from "./file-system.js";
import { commitTemporaryFile, createFolder, NODE_FILE_SYSTEM, syncFolder, writeTemporaryFile } from "./file-system.js";
import * as files from "./folder-files.js";
import { lockFolder } from "./folder-lock.js";
import type { LoadedLog } from "./load-log.js";
import { loadLog, removeAllSegments } from "./load-log.js";
import type { HardState, LogStorage, StoredEntry, StoredSnapshot } from "./log-storage.js";
import { checksumSeed } from "./record.js";
import * as segmentFiles from "./segment.js";
import { StorageError, StorageStep, toStorageError } from "./storage-error.js";
import { createWriteQueue } from "./write-queue.js";

/** Options of `openLogStorage`. */
export type LogStorageOptions = {
    /** Data folder of the replica; created when it does not exist. */
    readonly folder: string;
    /** Id of the cluster, stored in a new folder. A folder of another cluster is rejected. */
    readonly clusterId: string;
    /** Name of the replica, stored in a new folder. A folder of another replica is rejected. */
    readonly replicaId: string;
    /** Size in bytes from which the next write starts a new segment. Default: 8 MiB. */
    readonly segmentBytes?: number;
    /** File system to use, which tests replace by one that fails. Default: the file system of Node.js. */
    readonly fileSystem?: FileSystem;
    /** Default: no counters. */
    readonly counters?: Counters;
    /** Whether the environment keeps other processes out of the folder, so that it is not locked. Default: false. */
    readonly isFolderPrivate?: boolean;
};

/** A restart reads one segment at a time, so this also limits the memory that recovery needs. */
const DEFAULT_SEGMENT_BYTES = 8 * 1024 * 1024;
/** Size of the cache of recent entries, which replication and the state machine read right after they are written. */
const CACHE_BYTES = 2 * 1024 * 1024;
const NO_LOCK = () => Promise.resolve();

/**
 * Opens the log storage in a data folder, creating the folder if necessary. An incomplete write at the end of the log
 * is truncated.
 *
 * `read`, `termAt` and `lastIndex` include entries as soon as `append` has been called; the entries are durable once
 * `append` has resolved. After a failed write all later writes fail, because the state of the files is then unknown.
 *
 * @returns The open storage, which keeps the folder locked until it is closed.
 * @throws StorageError when the folder is locked, belongs to another replica, is corrupt or cannot be read.
 */
export async function openLogStorage(options: LogStorageOptions): Promise<LogStorage> {
    const fileSystem = options.fileSystem ?? NODE_FILE_SYSTEM;
    const { folder } = options;
    let releaseLock: (() => Promise<void>) | undefined;
    try {
        await createFolder(fileSystem, folder);
        releaseLock = options.isFolderPrivate === true ? NO_LOCK : await lockFolder(fileSystem, folder);
        // A process that was killed before it had synced the folder leaves names that are visible, but not durable.
        await syncFolder(fileSystem, folder);
        await files.removeTemporaryFiles(fileSystem, folder);
        const storeId = await files.loadOrCreateIdentity(fileSystem, folder, options.clusterId, options.replicaId);
        const hardState = await files.loadVote(fileSystem, folder);
        const snapshot = await files.loadSnapshot(fileSystem, folder);
        const log = await loadLog(fileSystem, folder, checksumSeed(storeId), snapshot);
        return createStorage(options, fileSystem, { storeId, hardState, snapshot, ...log }, releaseLock);
    }
    catch (error) {
        await releaseLock?.();
        throw toStorageError(StorageStep.Open, folder, error);
    }
}

type LoadedState = LoadedLog & {
    readonly storeId: string;
    readonly hardState: HardState;
    readonly snapshot: StoredSnapshot | undefined;
};

function createStorage(
    options: LogStorageOptions,
    fileSystem: FileSystem,
    loaded: LoadedState,
    releaseLock: () => Promise<void>,
): LogStorage {
    const { folder } = options;
    const { segments, termRuns } = loaded;
    const counters = options.counters ?? NO_COUNTERS;
    const seed = checksumSeed(loaded.storeId);
    const segmentBytes = options.segmentBytes ?? DEFAULT_SEGMENT_BYTES;
    /** Entries that are not yet written, and the most recently written ones. */
    const cache = new Map<number, StoredEntry>();
    let cacheBytes = 0;
    let hardState = loaded.hardState;
    let snapshot = loaded.snapshot;
    let firstIndex = segments[0]?.firstIndex ?? (snapshot?.index ?? 0) + 1;
    let lastIndex = Math.max(
        segments.length > 0 ? segmentFiles.segmentLastIndex(segments.at(-1)!) : 0,
        snapshot?.index ?? 0,
    );
    let writtenIndex = lastIndex;
    let snapshotsStarted = 0;
    /** Closing waits for them, since a storage that is opened afterwards writes to the same temporary files. */
    const pendingSnapshots = new Set<Promise<void>>();
    let isClosed = false;

    const termAt = (index: number): number | undefined => {
        if (index === snapshot?.index) {
            return snapshot.term;
        }
        if (index === 0) {
            return 0;
        }
        return index >= firstIndex && index <= lastIndex ? termRuns.at(index) : undefined;
    };

    const evictFromCache = (index: number) => {
        cacheBytes -= cache.get(index)?.payload.length ?? 0;
        cache.delete(index);
    };

    const trimCache = () => {
        for (const index of cache.keys()) {
            if (cacheBytes <= CACHE_BYTES || index > writtenIndex) {
                return;
            }
            evictFromCache(index);
        }
    };

    const writeBatch = async (entries: readonly StoredEntry[]) => {
        if (entries.length === 0) {
            return;
        }
        let activeSegment = segments.at(-1);
        if (activeSegment === undefined || activeSegment.size >= segmentBytes) {
            activeSegment = await segmentFiles.createSegment(fileSystem, folder, entries[0]!.index, seed);
            segments.push(activeSegment);
        }
        await segmentFiles.writeEntries(activeSegment, entries, seed);
        await activeSegment.handle.datasync();
        writtenIndex = entries.at(-1)!.index;
        trimCache();
        counters.increment("storage.fsyncs");
        counters.increment("storage.entries_written", entries.length);
    };

    const queue = createWriteQueue(folder, writeBatch);

    const assertUsable = () => {
        if (queue.failure !== undefined) {
            throw queue.failure;
        }
        if (isClosed) {
            throw new StorageError(StorageStep.Close, folder, "The storage is closed.", "Open it again.");
        }
    };

    const append = async (entries: readonly StoredEntry[]) => {
        assertUsable();
        entries.forEach((entry, position) => {
            if (entry.index !== lastIndex + 1 + position) {
                throw new RangeError(`Entry ${entry.index} does not follow entry ${lastIndex + position}.`);
            }
        });
        entries.forEach(entry => {
            cache.set(entry.index, entry);
            cacheBytes += entry.payload.length;
            termRuns.add(entry.index, entry.term);
        });
        lastIndex += entries.length;
        await queue.append(entries);
    };

    const truncateFrom = async (index: number) => {
        assertUsable();
        if (index > lastIndex) {
            return;
        }
        if (index < firstIndex) {
            throw new RangeError(`Entry ${index} is not in the log, which starts at ${firstIndex}.`);
        }
        for (let removedIndex = index; removedIndex <= lastIndex; removedIndex++) {
            evictFromCache(removedIndex);
        }
        termRuns.truncateFrom(index);
        lastIndex = index - 1;
        await queue.run(StorageStep.Truncate, async () => {
            while (segments.length > 1 && segments.at(-1)!.firstIndex >= index) {
                await segmentFiles.removeSegment(fileSystem, folder, segments.pop()!);
            }
            if (segments.length > 0) {
                await segmentFiles.truncateSegment(segments.at(-1)!, index);
            }
            writtenIndex = Math.min(writtenIndex, index - 1);
        });
    };

    const read = async (from: number, to: number, maximumBytes = Infinity): Promise<readonly StoredEntry[]> => {
        assertUsable();
        const end = Math.min(to, lastIndex + 1);
        if (from < firstIndex) {
            throw new RangeError(`Entry ${from} is not in the log, which starts at ${firstIndex}.`);
        }
        // Entries that are still being written are read from the cache; their records in the file may be incomplete.
        const writtenEnd = Math.min(end, writtenIndex + 1);
        const result: StoredEntry[] = [];
        let bytes = 0;
        for (let index = from; index < end && bytes < maximumBytes;) {
            const cached = cache.get(index);
            if (cached !== undefined) {
                result.push(cached);
                bytes += cached.payload.length;
                index++;
                continue;
            }
            const segment = segments.findLast(candidate => candidate.firstIndex <= index);
            if (segment === undefined) {
                throw new RangeError(`Entry ${index} is no longer in the log.`);
            }
            const readEnd = segmentFiles.findReadEnd(segment, index, writtenEnd, maximumBytes - bytes);
            const entries = await segmentFiles.readEntries(segment, index, readEnd, seed);
            if (entries.length === 0) {
                throw new RangeError(`Entry ${index} is no longer in the log.`);
            }
            result.push(...entries);
            bytes += entries.reduce((sum, entry) => sum + entry.payload.length, 0);
            index += entries.length;
        }
        return result;
    };

    const saveHardState = async (state: HardState) => {
        assertUsable();
        await queue.run(StorageStep.Vote, async () => {
            await files.saveVote(fileSystem, folder, state);
            hardState = state;
        });
    };

    const removeCoveredSegments = async (index: number) => {
        while (segments.length > 1 && segments[1]!.firstIndex <= index + 1) {
            const covered = segments.shift()!;
            firstIndex = segments[0]!.firstIndex;
            await segmentFiles.removeSegment(fileSystem, folder, covered);
        }
        for (const cached of cache.keys()) {
            if (cached >= firstIndex) {
                return;
            }
            evictFromCache(cached);
        }
    };

    const writeSnapshot = async (newSnapshot: StoredSnapshot, discardLog: boolean) => {
        const path = join(folder, files.SNAPSHOT_FILE);
        snapshotsStarted++;
        // Written outside the write queue, so that appends do not wait for a large snapshot. A failure is passed to the
        // queue, so that all later writes fail too.
        const temporaryPath = await writeTemporaryFile(
            fileSystem,
            path,
            files.encodeSnapshot(newSnapshot),
            `.${snapshotsStarted}`,
        ).catch((error: unknown) => queue.run(StorageStep.Snapshot, () => Promise.reject(error)));
        await queue.run(StorageStep.Snapshot, async () => {
            if (newSnapshot.index <= (snapshot?.index ?? 0)) {
                // A later snapshot was stored in the meantime, for example one installed by the leader.
                await fileSystem.unlink(temporaryPath as string);
                return;
            }
            await commitTemporaryFile(fileSystem, temporaryPath as string, path);
            snapshot = newSnapshot;
            if (!discardLog && newSnapshot.index <= lastIndex) {
                await removeCoveredSegments(newSnapshot.index);
                return;
            }
            cache.clear();
            cacheBytes = 0;
            termRuns.clear();
            firstIndex = newSnapshot.index + 1;
            lastIndex = newSnapshot.index;
            writtenIndex = newSnapshot.index;
            await removeAllSegments(fileSystem, folder, segments);
        });
    };

    const saveSnapshot = async (newSnapshot: StoredSnapshot, discardLog = false) => {
        assertUsable();
        const saving = writeSnapshot(newSnapshot, discardLog);
        pendingSnapshots.add(saving);
        try {
            await saving;
        }
        finally {
            pendingSnapshots.delete(saving);
        }
    };

    const close = async () => {
        if (isClosed) {
            return;
        }
        isClosed = true;
        await Promise.allSettled(pendingSnapshots);
        await queue.run(StorageStep.Close, () => Promise.resolve()).catch(() => undefined);
        await Promise.allSettled(segments.map(segment => Promise.allSettled(segment.pendingReads)));
        await Promise.allSettled(segments.map(segment => segment.handle.close()));
        await releaseLock();
    };

    return {
        storeId: loaded.storeId,
        get firstIndex() {
            return firstIndex;
        },
        get lastIndex() {
            return lastIndex;
        },
        get lastTerm() {
            return termAt(lastIndex) ?? 0;
        },
        get hardState() {
            return hardState;
        },
        get snapshot() {
            return snapshot;
        },
        append,
        truncateFrom,
        read,
        termAt,
        saveHardState,
        saveSnapshot,
        close,
    };
}
