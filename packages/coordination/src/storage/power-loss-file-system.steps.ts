/**
 * In-memory file system that loses unsynced state when the power fails. Contents and names are tracked separately: a
 * sync of a file makes its content durable, a sync of a folder the names in it.
 */
import { xorshift128plus } from "pure-rand/generator/xorshift128plus";
import type { FileSystem } from "./file-system.js";

type Change = { readonly position: number; readonly bytes: Uint8Array } | { readonly length: number };
type File = { visible: Buffer; durable: Buffer; unsynced: Change[] };
type Names = Map<string, File | Folder>;
/** Each unsynced change of names takes effect as a whole; undefined removes a name. */
type NameChange = readonly (readonly [string, File | Folder | undefined])[];
type Folder = { readonly names: Names; readonly durable: Names; unsynced: NameChange[] };

/** What happens to an operation. `Killed` ends the process during it, `Failed` reports an error. */
export enum Fate {
    Done = "done",
    Killed = "killed",
    Failed = "failed",
}

/** Decides on each operation that changes or syncs something, which is named as in `node:fs/promises`. */
export type DecideFate = (operation: string, path: string) => Fate;

/** A disk with a file system. */
export type PowerLossDisk = {
    /** Starts a process that uses the file system; it ends the one before, whose operations all fail from then on. */
    startProcess(decideFate: DecideFate): FileSystem;
    /** Ends the running process; what it has written stays visible. */
    kill(): void;
    /** Ends the running process and loses unsynced state: all of it, or a part of each change independently. */
    losePower(isAllLost?: boolean): void;
};

const createFolder = (): Folder => ({ names: new Map(), durable: new Map(), unsynced: [] });

const isFolder = (node: File | Folder): node is Folder => "names" in node;

const applyChange = (content: Buffer, change: Change): Buffer => {
    if ("length" in change) {
        return Buffer.concat([content.subarray(0, change.length)], change.length);
    }
    const result = Buffer.concat([content], Math.max(content.length, change.position + change.bytes.length));
    result.set(change.bytes, change.position);
    return result;
};

const applyNames = (names: Names, change: NameChange) =>
    change.forEach(([name, node]) => node === undefined ? names.delete(name) : names.set(name, node));

const systemError = (code: string, operation: string, path: string) =>
    Object.assign(new Error(`${code}: simulated, ${operation} '${path}'`), { code });

/** Creates a generator of uniform random numbers in [0, 1) from a seed. */
export const createRandom = (seed: number): () => number => {
    const generator = xorshift128plus(seed);
    return () => (generator.next() >>> 0) / 0x1_0000_0000;
};

/** Creates an empty disk; `random` decides what a loss of power or a failed sync loses. */
export function createPowerLossDisk(random: () => number): PowerLossDisk {
    const root = createFolder();
    let processNumber = 0;

    const find = (path: string): File | Folder | undefined =>
        path.split("/").filter(name => name !== "")
            .reduce<File | Folder | undefined>(
                (node, name) => node !== undefined && isFolder(node) ? node.names.get(name) : undefined,
                root,
            );

    const locate = (path: string, operation: string) => {
        const end = path.lastIndexOf("/");
        const folder = find(path.slice(0, end));
        if (folder === undefined || !isFolder(folder)) {
            throw systemError("ENOENT", operation, path);
        }
        return { folder, name: path.slice(end + 1), node: folder.names.get(path.slice(end + 1)) };
    };

    const changeNames = (folder: Folder, change: NameChange) => {
        applyNames(folder.names, change);
        folder.unsynced.push(change);
    };

    const changeFile = (file: File, change: Change) => {
        file.visible = applyChange(file.visible, change);
        file.unsynced.push(change);
    };

    const sync = (node: File | Folder) => {
        if (isFolder(node)) {
            node.unsynced.forEach(change => applyNames(node.durable, change));
        }
        else {
            node.durable = node.unsynced.reduce(applyChange, node.durable);
        }
        node.unsynced = [];
    };

    /**
     * Linux reports a failed write to the disk once and then takes the pages for clean, so that a later sync does not
     * write them. Changes of names and sizes are in a journal and stay pending.
     */
    const failSync = (node: File | Folder) => {
        if (!isFolder(node)) {
            node.unsynced = node.unsynced.filter(change => "length" in change);
        }
    };

    const loseFile = (file: File, isAllLost: boolean) => {
        const kept = file.unsynced.flatMap(change => {
            const fate = isAllLost ? 0 : random();
            if (fate < 0.4) {
                return [];
            }
            if (fate < 0.6 && !("length" in change)) {
                // Torn: the beginning is written, and the file may have grown without the rest.
                const bytes = change.bytes.subarray(0, Math.floor(random() * change.bytes.length));
                const grown = { position: change.position + change.bytes.length, bytes: Buffer.alloc(0) };
                return random() < 0.5 ? [{ ...change, bytes }] : [{ ...change, bytes }, grown];
            }
            return [change];
        });
        file.durable = kept.reduce(applyChange, file.durable);
        file.visible = file.durable;
        file.unsynced = [];
    };

    const loseFolder = (folder: Folder, isAllLost: boolean) => {
        folder.unsynced.filter(() => !isAllLost && random() < 0.5)
            .forEach(change => applyNames(folder.durable, change));
        folder.unsynced = [];
        folder.names.clear();
        folder.durable.forEach((node, name) => {
            folder.names.set(name, node);
            if (isFolder(node)) {
                loseFolder(node, isAllLost);
            }
            else {
                loseFile(node, isAllLost);
            }
        });
    };

    const startProcess = (decideFate: DecideFate): FileSystem => {
        const ownNumber = ++processNumber;

        const checkRunning = (operation: string, path: string) => {
            if (ownNumber !== processNumber) {
                throw systemError("EKILLED", operation, path);
            }
        };

        /** `onKilled` and `onFailed` leave behind what an operation that does not succeed may have done. */
        const perform = async <T>(
            operation: string,
            path: string,
            run: () => T,
            onKilled: () => void = () => undefined,
            onFailed = onKilled,
        ): Promise<T> => {
            await Promise.resolve();
            checkRunning(operation, path);
            const fate = decideFate(operation, path);
            if (fate === Fate.Killed) {
                onKilled();
                processNumber++;
            }
            checkRunning(operation, path);
            if (fate === Fate.Failed) {
                onFailed();
                throw systemError("EIO", operation, path);
            }
            return run();
        };

        const openHandle = (path: string, node: File | Folder) => {
            const file = node as File;
            const syncHandle = (operation: string) =>
                perform(operation, path, () => sync(node), () => undefined, () => failSync(node));
            return {
                read: async (target: Buffer, offset: number, length: number, position: number) => {
                    await Promise.resolve();
                    checkRunning("read", path);
                    const bytesRead = file.visible.copy(target, offset, position, position + length);
                    return { bytesRead, buffer: target };
                },
                write: (source: Uint8Array, offset: number, length: number, position: number) => {
                    const bytes = Buffer.from(source.subarray(offset, offset + length));
                    const writeFirst = (count: number) =>
                        changeFile(file, { position, bytes: bytes.subarray(0, count) });
                    return perform(
                        "write",
                        path,
                        () => {
                            writeFirst(length);
                            return { bytesWritten: length, buffer: source };
                        },
                        () => writeFirst(Math.floor(random() * (length + 1))),
                    );
                },
                truncate: (length: number) =>
                    perform("truncate", path, () => changeFile(file, { length }), () => {
                        if (random() < 0.5) {
                            changeFile(file, { length });
                        }
                    }),
                sync: () => syncHandle("sync"),
                datasync: () => syncHandle("datasync"),
                close: () => Promise.resolve(),
            };
        };

        const open = (path: string, flags: string) => {
            const node = find(path);
            if (flags === "r" || flags === "r+") {
                if (node === undefined) {
                    throw systemError("ENOENT", "open", path);
                }
                checkRunning("open", path);
                return openHandle(path, node);
            }
            return perform("open", path, () => {
                const parent = locate(path, "open");
                if (parent.node !== undefined && flags.includes("x")) {
                    throw systemError("EEXIST", "open", path);
                }
                if (parent.node !== undefined) {
                    changeFile(parent.node as File, { length: 0 });
                    return openHandle(path, parent.node);
                }
                const file: File = { visible: Buffer.alloc(0), durable: Buffer.alloc(0), unsynced: [] };
                changeNames(parent.folder, [[parent.name, file]]);
                return openHandle(path, file);
            });
        };

        const mkdir = (path: string) =>
            perform("mkdir", path, () => {
                const { folder, name, node } = locate(path, "mkdir");
                if (node !== undefined) {
                    throw systemError("EEXIST", "mkdir", path);
                }
                changeNames(folder, [[name, createFolder()]]);
            });

        const fileSystem = {
            open: async (path: string, flags: string) => open(path, flags),
            readFile: async (path: string) => {
                await Promise.resolve();
                checkRunning("readFile", path);
                const node = find(path);
                if (node === undefined || isFolder(node)) {
                    throw systemError("ENOENT", "readFile", path);
                }
                return Buffer.from(node.visible);
            },
            stat: async (path: string) => {
                await Promise.resolve();
                checkRunning("stat", path);
                if (find(path) === undefined) {
                    throw systemError("ENOENT", "stat", path);
                }
                return {};
            },
            readdir: async (path: string) => {
                await Promise.resolve();
                checkRunning("readdir", path);
                return [...(find(path) as Folder).names.keys()];
            },
            rename: (from: string, to: string) =>
                perform("rename", from, () => {
                    const { folder, name, node } = locate(from, "rename");
                    changeNames(folder, [[name, undefined], [locate(to, "rename").name, node]]);
                }),
            unlink: (path: string) =>
                perform("unlink", path, () => {
                    const { folder, name } = locate(path, "unlink");
                    changeNames(folder, [[name, undefined]]);
                }),
            mkdir,
        };
        return fileSystem as unknown as FileSystem;
    };

    return {
        startProcess,
        kill: () => {
            processNumber++;
        },
        losePower: (isAllLost = random() < 0.3) => {
            processNumber++;
            loseFolder(root, isAllLost);
        },
    };
}
