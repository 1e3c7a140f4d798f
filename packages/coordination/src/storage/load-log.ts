/**
 * Loading of the log from the segments in a data folder.
 */
import type { FileSystem } from "./file-system.js";
import type { StoredSnapshot } from "./log-storage.js";
import type { Segment } from "./segment.js";
import * as segmentFiles from "./segment.js";
import { corruptionError, StorageStep } from "./storage-error.js";
import { createTermRuns } from "./term-runs.js";

/** Open segments and the terms of their entries. */
export type LoadedLog = { readonly segments: Segment[]; readonly termRuns: ReturnType<typeof createTermRuns> };

/**
 * Opens all segments and removes a log that the snapshot has replaced.
 *
 * @param seed Checksum seed of the store.
 * @throws StorageError when the log is corrupt or lacks entries after the snapshot.
 */
export async function loadLog(
    fileSystem: FileSystem,
    folder: string,
    seed: number,
    snapshot: StoredSnapshot | undefined,
): Promise<LoadedLog> {
    const segments: Segment[] = [];
    try {
        return await loadSegments(fileSystem, folder, seed, snapshot, segments);
    }
    catch (error) {
        await Promise.allSettled(segments.map(segment => segment.handle.close()));
        throw error;
    }
}

async function loadSegments(
    fileSystem: FileSystem,
    folder: string,
    seed: number,
    snapshot: StoredSnapshot | undefined,
    segments: Segment[],
): Promise<LoadedLog> {
    const termRuns = createTermRuns();
    const firstIndexes = (await fileSystem.readdir(folder))
        .map(name => segmentFiles.segmentFirstIndex(name))
        .filter(index => index !== undefined)
        .sort((a, b) => a - b);
    for (const firstIndex of firstIndexes) {
        const isLast = firstIndex === firstIndexes.at(-1);
        const previous = segments.at(-1);
        if (previous !== undefined && segmentFiles.segmentLastIndex(previous) + 1 !== firstIndex) {
            throw corruptionError(StorageStep.Open, previous.path, "The log has a gap after this segment.");
        }
        const segment = await segmentFiles.openSegment(fileSystem, folder, firstIndex, seed, isLast, termRuns.add);
        if (segment !== undefined) {
            segments.push(segment);
        }
    }
    const first = segments[0];
    const last = segments.at(-1);
    if (first === undefined || last === undefined) {
        return { segments, termRuns };
    }
    const snapshotPosition = snapshot ?? { index: 0, term: 0 };
    if (first.firstIndex > snapshotPosition.index + 1) {
        throw corruptionError(
            StorageStep.Open,
            first.path,
            `Entries are missing from the log, beginning with entry ${snapshotPosition.index + 1}.`,
        );
    }
    // A log that ends before the snapshot, or has another term at its index, was replaced by the snapshot; the process
    // stopped before it had removed the log.
    const containsSnapshotIndex = snapshotPosition.index >= first.firstIndex
        && snapshotPosition.index <= segmentFiles.segmentLastIndex(last);
    if (
        segmentFiles.segmentLastIndex(last) < snapshotPosition.index
        || (containsSnapshotIndex && termRuns.at(snapshotPosition.index) !== snapshotPosition.term)
    ) {
        await removeAllSegments(fileSystem, folder, segments);
        termRuns.clear();
    }
    return { segments, termRuns };
}

/** Removes the segments from last to first, so that an interruption never leaves a gap. */
export async function removeAllSegments(fileSystem: FileSystem, folder: string, segments: Segment[]): Promise<void> {
    for (let segment = segments.pop(); segment !== undefined; segment = segments.pop()) {
        await segmentFiles.removeSegment(fileSystem, folder, segment);
    }
}
