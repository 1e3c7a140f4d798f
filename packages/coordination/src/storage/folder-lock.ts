/**
 * Lock that gives one process exclusive use of a data folder.
 */
import { createServer } from "node:net";
import type { FileSystem } from "./file-system.js";
import { StorageError, StorageStep } from "./storage-error.js";

/**
 * Locks a folder until the lock is released or the process exits.
 *
 * Node.js has no file locks. The lock is a socket in the abstract namespace of Linux, named after the device and inode
 * of the folder. The kernel closes it however the process exits, so a killed process leaves no stale lock behind.
 *
 * @returns Function that releases the lock.
 * @throws StorageError when another open storage has locked the folder.
 */
export async function lockFolder(fileSystem: FileSystem, folder: string): Promise<() => Promise<void>> {
    const { dev, ino } = await fileSystem.stat(folder);
    const server = createServer(socket => socket.destroy());
    await new Promise<void>((resolve, reject) => {
        server.once("error", (error: NodeJS.ErrnoException) => {
            reject(
                new StorageError(
                    StorageStep.Lock,
                    folder,
                    error.code === "EADDRINUSE"
                        ? "The data folder is in use by another process."
                        : `The data folder cannot be locked: ${error.message}.`,
                    "Stop the other process, or configure another data folder for this one.",
                    error,
                ),
            );
        });
        server.listen({ path: `\0hyssopfront-storage-${dev}-${ino}` }, resolve);
    });
    server.unref();
    return () => new Promise(resolve => server.close(() => resolve()));
}
