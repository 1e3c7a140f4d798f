/**
 * Segments: append-only files, each of which contains consecutive records of the log.
 */
import type { FileHandle } from "node:fs/promises";
import { join } from "node:path";
import type { FileSystem } from "./file-system.js";
import { syncFolder, writeAll } from "./file-system.js";
import type { StoredEntry } from "./log-storage.js";
import * as record from "./record.js";
import { corruptionError, StorageStep } from "./storage-error.js";

/** An open segment. Offsets and sizes are in bytes. */
export type Segment = {
    readonly path: string;
    readonly firstIndex: number;
    readonly handle: FileHandle;
    /** Offset of each record in the file; position 0 is the record of `firstIndex`. */
    readonly offsets: number[];
    /** Size of the file, including writes in progress. */
    size: number;
    /** Reads in progress; the file is closed only after they have ended. */
    readonly pendingReads: Set<Promise<unknown>>;
};

const SEGMENT_NAME = /^log-(\d{16})\.segment$/;

/** Parses the first index from the file name of a segment; undefined when the file is not a segment. */
export function segmentFirstIndex(name: string): number | undefined {
    const digits = SEGMENT_NAME.exec(name)?.[1];
    return digits === undefined ? undefined : Number(digits);
}

function segmentPath(folder: string, firstIndex: number): string {
    return join(folder, `log-${String(firstIndex).padStart(16, "0")}.segment`);
}

/** Index of the last record; `firstIndex - 1` when the segment is empty. */
export function segmentLastIndex(segment: Segment): number {
    return segment.firstIndex + segment.offsets.length - 1;
}

/**
 * Creates an empty segment. Its directory entry and header are durable before any record is written to it.
 *
 * @param seed Checksum seed of the store.
 */
export async function createSegment(
    fileSystem: FileSystem,
    folder: string,
    firstIndex: number,
    seed: number,
): Promise<Segment> {
    const path = segmentPath(folder, firstIndex);
    const handle = await fileSystem.open(path, "wx+");
    try {
        await writeAll(handle, record.encodeSegmentHeader(firstIndex, seed), 0);
        await handle.sync();
        await syncFolder(fileSystem, folder);
    }
    catch (error) {
        await handle.close();
        throw error;
    }
    return { path, firstIndex, handle, offsets: [], size: record.SEGMENT_HEADER_BYTES, pendingReads: new Set() };
}

/**
 * Opens an existing segment and verifies each record.
 *
 * @param seed Checksum seed of the store.
 * @param isLast Whether this is the last segment, which may end in an unsynced write. An incomplete write is truncated
 * and a complete one repeated, so that all records are durable.
 * @param onEntry Called with the index and term of each record.
 * @returns The segment; undefined when it is the last one and has no complete header, in which case it is deleted.
 * @throws StorageError for corruption that an incomplete write cannot explain.
 */
export async function openSegment(
    fileSystem: FileSystem,
    folder: string,
    firstIndex: number,
    seed: number,
    isLast: boolean,
    onEntry: (index: number, term: number) => void,
): Promise<Segment | undefined> {
    const path = segmentPath(folder, firstIndex);
    const bytes = await fileSystem.readFile(path);
    if (record.decodeSegmentHeader(bytes, seed) !== firstIndex) {
        if (isLast && bytes.length <= record.SEGMENT_HEADER_BYTES) {
            await fileSystem.unlink(path);
            await syncFolder(fileSystem, folder);
            return undefined;
        }
        throw corruptionError(StorageStep.Open, path, "The header of the log segment is damaged.");
    }
    const offsets: number[] = [];
    let offset = record.SEGMENT_HEADER_BYTES;
    let lastBatchStart = 0;
    while (offset < bytes.length) {
        const decoded = record.decodeRecord(bytes, offset, seed);
        if (decoded === undefined) {
            break;
        }
        if (decoded.index !== firstIndex + offsets.length) {
            throw corruptionError(StorageStep.Open, path, `The log has a gap at byte ${offset}.`);
        }
        onEntry(decoded.index, decoded.term);
        offsets.push(offset);
        offset = decoded.end;
        lastBatchStart = decoded.batchStart;
    }
    if (offset < bytes.length && (!isLast || record.wasDurable(bytes, offset, seed))) {
        throw corruptionError(StorageStep.Open, path, `The log record at byte ${offset} is damaged.`);
    }
    const handle = await fileSystem.open(path, "r+");
    const segment = {
        path,
        firstIndex,
        handle,
        offsets,
        size: bytes.length,
        pendingReads: new Set<Promise<unknown>>(),
    };
    if (isLast) {
        await makeDurable(segment, bytes.subarray(0, offset), lastBatchStart).catch(async (error: unknown) => {
            await handle.close();
            throw error;
        });
    }
    return segment;
}

/**
 * Truncates the segment to its valid content and repeats the last write, which is the only one that may not be durable.
 * A sync alone is not enough: the kernel takes pages for clean after it has failed to write them.
 */
async function makeDurable(segment: Segment, content: Buffer, lastBatchStart: number): Promise<void> {
    segment.size = content.length;
    await segment.handle.truncate(content.length);
    await writeAll(segment.handle, content.subarray(lastBatchStart), lastBatchStart);
    await segment.handle.sync();
}

/** Appends entries to the segment in one write. The caller calls fsync. */
export async function writeEntries(segment: Segment, entries: readonly StoredEntry[], seed: number): Promise<void> {
    const batchStart = segment.size;
    const buffer = Buffer.allocUnsafe(entries.reduce((sum, entry) => sum + record.recordLength(entry), 0));
    let length = 0;
    entries.forEach(entry => {
        record.encodeRecord(buffer, length, entry, batchStart, seed);
        segment.offsets.push(batchStart + length);
        length += record.recordLength(entry);
    });
    segment.size += length;
    await writeAll(segment.handle, buffer, batchStart);
}

/** Removes the entry at `index` and all later ones from the segment; resolves after fsync. */
export async function truncateSegment(segment: Segment, index: number): Promise<void> {
    const offset = segment.offsets[index - segment.firstIndex];
    if (offset === undefined) {
        return;
    }
    segment.offsets.length = index - segment.firstIndex;
    await truncateFile(segment, offset);
}

async function truncateFile(segment: Segment, offset: number): Promise<void> {
    segment.size = offset;
    await segment.handle.truncate(offset);
    await segment.handle.sync();
}

/** Exclusive end index of a read from `from` on that stays within the segment and stops once it has `maximumBytes`. */
export function findReadEnd(segment: Segment, from: number, to: number, maximumBytes: number): number {
    const start = segment.offsets[from - segment.firstIndex] ?? segment.size;
    const limit = Math.min(to, segmentLastIndex(segment) + 1);
    let end = from + 1;
    while (end < limit && segment.offsets[end - segment.firstIndex]! - start < maximumBytes) {
        end++;
    }
    return end;
}

/**
 * Reads the entries in [from, to), all of which must be in the segment.
 *
 * @throws StorageError when a record is corrupt.
 */
export async function readEntries(
    segment: Segment,
    from: number,
    to: number,
    seed: number,
): Promise<readonly StoredEntry[]> {
    const start = segment.offsets[from - segment.firstIndex] ?? segment.size;
    const end = segment.offsets[to - segment.firstIndex] ?? segment.size;
    const buffer = Buffer.alloc(end - start);
    const pendingRead = segment.handle.read(buffer, 0, buffer.length, start);
    segment.pendingReads.add(pendingRead);
    try {
        await pendingRead;
    }
    finally {
        segment.pendingReads.delete(pendingRead);
    }
    const entries: StoredEntry[] = [];
    for (let offset = 0; offset < buffer.length;) {
        const decoded = record.decodeRecord(buffer, offset, seed);
        if (decoded === undefined) {
            throw corruptionError(StorageStep.Read, segment.path, `The record at byte ${start + offset} is damaged.`);
        }
        entries.push({ index: decoded.index, term: decoded.term, payload: decoded.payload });
        offset = decoded.end;
    }
    return entries;
}

/** Deletes the segment after its pending reads have ended; resolves once the deletion is durable. */
export async function removeSegment(fileSystem: FileSystem, folder: string, segment: Segment): Promise<void> {
    await Promise.allSettled(segment.pendingReads);
    await segment.handle.close();
    await fileSystem.unlink(segment.path);
    await syncFolder(fileSystem, folder);
}
