/**
 * File system operations of the storage. Tests inject another `FileSystem` to simulate disk failures.
 */
import * as fs from "node:fs/promises";
import { basename, dirname, join } from "node:path";
import { crc32 } from "node:zlib";
import type { StorageStep } from "./storage-error.js";
import { corruptionError } from "./storage-error.js";

/** The functions of `node:fs/promises` that the storage calls. */
export type FileSystem = Pick<typeof fs, "open" | "readFile" | "readdir" | "rename" | "unlink" | "mkdir" | "stat">;

/** The file system of Node.js. */
export const NODE_FILE_SYSTEM: FileSystem = fs;

/** Suffix of files that are renamed into place once they are complete. */
export const TEMPORARY_SUFFIX = ".temporary";

const CHECKSUM_BYTES = 4;

/** Calls fsync on a folder, which makes created, renamed and deleted files in it durable. */
export async function syncFolder(fileSystem: FileSystem, folder: string): Promise<void> {
    const handle = await fileSystem.open(folder, "r");
    try {
        await handle.sync();
    }
    finally {
        await handle.close();
    }
}

/**
 * Creates a folder and its missing ancestors; resolves once they are durable. A folder is created only after its parent
 * is durable. The entry of an existing folder is synced too, since an earlier process may have ended before its sync.
 */
export async function createFolder(fileSystem: FileSystem, folder: string): Promise<void> {
    const parent = dirname(folder);
    const isExisting = await fileSystem.stat(folder).then(() => true, (error: NodeJS.ErrnoException) => {
        if (error.code !== "ENOENT") {
            throw error;
        }
        return false;
    });
    if (!isExisting) {
        await createFolder(fileSystem, parent);
        await fileSystem.mkdir(folder, { recursive: true });
    }
    await syncFolder(fileSystem, parent).catch((error: NodeJS.ErrnoException) => {
        // A parent that this process may not read was not created by it.
        if (!isExisting || error.code !== "EACCES") {
            throw error;
        }
    });
}

/** Writes all bytes at a position, with as many writes as it takes. */
export async function writeAll(handle: fs.FileHandle, bytes: Uint8Array, position: number): Promise<void> {
    let done = 0;
    while (done < bytes.length) {
        const { bytesWritten } = await handle.write(bytes, done, bytes.length - done, position + done);
        done += bytesWritten;
    }
}

/**
 * Writes a temporary file with a checksum next to `path` and syncs it.
 *
 * @param parts Content of the file, in order.
 * @param label Part of the file name that distinguishes concurrent temporary files of the same path.
 * @returns Path of the temporary file.
 */
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

/** Renames a synced temporary file to `path`; resolves once the rename is durable. */
export async function commitTemporaryFile(fileSystem: FileSystem, temporary: string, path: string): Promise<void> {
    await fileSystem.rename(temporary, path);
    await syncFolder(fileSystem, dirname(path));
}

/**
 * Atomically replaces a file, to which a checksum is added: after a crash it has either the old or the new content.
 * Resolves once the new content is durable.
 */
export async function replaceFile(fileSystem: FileSystem, path: string, content: Uint8Array): Promise<void> {
    await commitTemporaryFile(fileSystem, await writeTemporaryFile(fileSystem, path, [content]), path);
}

/**
 * Reads a file written by `replaceFile` and verifies its checksum.
 *
 * @param step Step that the error names.
 * @returns The content; undefined when the file does not exist.
 * @throws StorageError when the file does not match its checksum.
 */
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
