/**
 * The part of the file system that the storage uses, so that tests can bring about failures of the disk.
 */
import * as fs from "node:fs/promises";
import { basename, dirname, join } from "node:path";
import { crc32 } from "node:zlib";
import type { StorageStep } from "./storage-error.js";
import { corruptionError } from "./storage-error.js";

export type FileSystem = Pick<typeof fs, "open" | "readFile" | "readdir" | "rename" | "unlink" | "mkdir" | "stat">;

export const NODE_FILE_SYSTEM: FileSystem = fs;

export const TEMPORARY_SUFFIX = ".temporary";

const CHECKSUM_BYTES = 4;

/** Makes the names in a folder durable. */
export async function syncFolder(fileSystem: FileSystem, folder: string): Promise<void> {
    const handle = await fileSystem.open(folder, "r");
    try {
        await handle.sync();
    }
    finally {
        await handle.close();
    }
}

/** Writes all bytes at a position; a short write is continued. */
export async function writeAll(handle: fs.FileHandle, bytes: Uint8Array, position: number): Promise<void> {
    let done = 0;
    while (done < bytes.length) {
        const { bytesWritten } = await handle.write(bytes, done, bytes.length - done, position + done);
        done += bytesWritten;
    }
}

/** Writes a checksummed temporary file next to `path` and syncs it. Returns the temporary path. */
export async function writeTemporaryFile(
    fileSystem: FileSystem,
    path: string,
    parts: readonly Uint8Array[],
    label = "",
): Promise<string> {
    const temporary = join(dirname(path), `${basename(path)}${label}${TEMPORARY_SUFFIX}`);
    const header = Buffer.alloc(CHECKSUM_BYTES);
    header.writeUInt32LE(parts.reduce((checksum, part) => crc32(part, checksum), 0));
    const handle = await fileSystem.open(temporary, "w");
    try {
        let position = 0;
        for (const part of [header, ...parts]) {
            await writeAll(handle, part, position);
            position += part.length;
        }
        await handle.sync();
    }
    finally {
        await handle.close();
    }
    return temporary;
}

/** Puts a synced temporary file in the place of `path` and makes the name durable. */
export async function commitTemporaryFile(fileSystem: FileSystem, temporary: string, path: string): Promise<void> {
    await fileSystem.rename(temporary, path);
    await syncFolder(fileSystem, dirname(path));
}

/** Replaces a small checksummed file: after a crash either the old or the new content is found. */
export async function replaceFile(fileSystem: FileSystem, path: string, content: Uint8Array): Promise<void> {
    await commitTemporaryFile(fileSystem, await writeTemporaryFile(fileSystem, path, [content]), path);
}

/** Reads a file written by `replaceFile`; undefined when there is none. */
export async function readChecked(
    fileSystem: FileSystem,
    path: string,
    step: StorageStep,
): Promise<Buffer | undefined> {
    let bytes: Buffer;
    try {
        bytes = await fileSystem.readFile(path);
    }
    catch (error) {
        if ((error as NodeJS.ErrnoException).code === "ENOENT") {
            return undefined;
        }
        throw error;
    }
    const content = bytes.subarray(CHECKSUM_BYTES);
    if (bytes.length < CHECKSUM_BYTES || bytes.readUInt32LE(0) !== crc32(content)) {
        throw corruptionError(step, path, "The file does not match its checksum.");
    }
    return content;
}
