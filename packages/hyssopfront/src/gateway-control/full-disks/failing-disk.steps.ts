/**
 * File system that is full on purpose: the operations that a test selects fail with ENOSPC. Nothing is really synced, as
 * no power is lost, and the many syncs would slow down the tests beside it.
 */
import { type FileSystem, NODE_FILE_SYSTEM } from "@hyssopfront/coordination";
import type { FileHandle } from "node:fs/promises";
import { basename } from "node:path";

/** File operations that fail on a full disk. */
export enum DiskOperation {
    MakeFolder = "mkdir",
    Create = "create",
    /** Fails after half of the bytes are written. */
    Write = "write",
    Sync = "sync",
    Truncate = "truncate",
    Rename = "rename",
    Unlink = "unlink",
    SyncFolder = "sync of the folder",
}

/** Position in bytes that stands for the sync of appended records, which has none. */
const APPEND_SYNC_POSITION = 1;

/** Whether an operation on a file fails. `position` is that of a write, in bytes. */
export type DiskFault = (operation: DiskOperation, fileName: string, position: number) => boolean;

/** Disk of one instance. */
export type FailingDisk = {
    readonly fileSystem: FileSystem;
    /** Makes operations fail until `free` is called. */
    fill(fault: DiskFault): void;
    /** Makes writes and syncs of files wait until `free` is called. */
    stall(): void;
    free(): void;
    /** Returns the number of operations that failed since `fill`. */
    failures(): number;
    /** Returns the number of open files. */
    openFiles(): number;
};

/** Creates a disk that has room. */
export function createFailingDisk(): FailingDisk {
    let fault: DiskFault | undefined;
    let released = Promise.resolve();
    let release: () => void = () => undefined;
    let failureCount = 0;
    let openCount = 0;

    const hasFault = (operation: DiskOperation, path: string, position: number) =>
        fault?.(operation, basename(path), position) === true;
    const fail = (operation: DiskOperation): never => {
        failureCount += 1;
        throw Object.assign(new Error(`ENOSPC: no space left on device, ${operation}`), { code: "ENOSPC" });
    };
    const check = (operation: DiskOperation, path: string, position = 0) => {
        if (hasFault(operation, path, position)) {
            fail(operation);
        }
    };

    const wrap = (handle: FileHandle, path: string, isFolder: boolean): FileHandle => {
        const replaced: Readonly<Record<string, unknown>> = {
            write: async (bytes: Uint8Array, offset: number, length: number, position: number) => {
                await released;
                if (hasFault(DiskOperation.Write, path, position)) {
                    await handle.write(bytes, offset, length >> 1, position);
                    fail(DiskOperation.Write);
                }
                return handle.write(bytes, offset, length, position);
            },
            sync: async () => {
                await released;
                check(isFolder ? DiskOperation.SyncFolder : DiskOperation.Sync, path);
            },
            datasync: async () => {
                await released;
                check(DiskOperation.Sync, path, APPEND_SYNC_POSITION);
            },
            truncate: async (length: number) => {
                check(DiskOperation.Truncate, path);
                await handle.truncate(length);
            },
            close: async () => {
                openCount -= 1;
                await handle.close();
            },
        };
        return new Proxy(handle, {
            get: (target, name) => {
                const member = replaced[String(name)] ?? Reflect.get(target, name) as unknown;
                return typeof member === "function" ? member.bind(target) as unknown : member;
            },
        });
    };

    const open = async (path: string, flags: string) => {
        if (flags.startsWith("w")) {
            check(DiskOperation.Create, path);
        }
        const handle = await NODE_FILE_SYSTEM.open(path, flags);
        openCount += 1;
        return wrap(handle, path, flags === "r");
    };

    return {
        fileSystem: {
            ...NODE_FILE_SYSTEM,
            open: open as FileSystem["open"],
            mkdir: (async (path: string, options: { readonly recursive: true }) => {
                check(DiskOperation.MakeFolder, path);
                return NODE_FILE_SYSTEM.mkdir(path, options);
            }) as FileSystem["mkdir"],
            rename: async (from, to) => {
                check(DiskOperation.Rename, String(to));
                await NODE_FILE_SYSTEM.rename(from, to);
            },
            unlink: async path => {
                check(DiskOperation.Unlink, String(path));
                await NODE_FILE_SYSTEM.unlink(path);
            },
        },
        fill: newFault => {
            fault = newFault;
            failureCount = 0;
        },
        stall: () => {
            released = new Promise(resolve => {
                release = resolve;
            });
        },
        free: () => {
            fault = undefined;
            release();
        },
        failures: () => failureCount,
        openFiles: () => openCount,
    };
}
