import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import type { FileHandle } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type FileSystem, NODE_FILE_SYSTEM } from "./file-system.js";
import type { LogStorage, StoredEntry } from "./log-storage.js";
import { openLogStorage } from "./open-log-storage.js";

let folder: string | undefined;
let blockedStorage: LogStorage;
let writesReleased = Promise.resolve();
let releaseWrites: () => void;
let entriesRead: readonly StoredEntry[];

const options = () => ({ folder: folder!, clusterId: "sibiu", replicaId: "control-1" });
const entry = (index: number): StoredEntry => ({ index, term: 1, payload: Buffer.from(`payload ${index}`) });

After(() => {
    if (folder !== undefined) {
        rmSync(folder, { recursive: true, force: true });
    }
});

/** Makes all later writes wait until `releaseWrites` is called. */
const blockLaterWrites = () => {
    writesReleased = new Promise(resolve => {
        releaseWrites = resolve;
    });
};

/** Creates a file system whose writes wait while they are blocked. */
const createBlockedFileSystem = (): FileSystem => {
    const blockWrites = (handle: FileHandle): FileHandle =>
        new Proxy(handle, {
            get: (target, name) => {
                const member = Reflect.get(target, name) as unknown;
                if (typeof member !== "function") {
                    return member;
                }
                return (...values: unknown[]) =>
                    name === "write"
                        ? writesReleased.then(() => Reflect.apply(member, target, values) as unknown)
                        : Reflect.apply(member, target, values) as unknown;
            },
        });
    return {
        ...NODE_FILE_SYSTEM,
        open: async (...values) => blockWrites(await NODE_FILE_SYSTEM.open(...values)),
    };
};

Given("a reopened log of {int} entries whose next write is blocked", async (count: number) => {
    folder = mkdtempSync(join(tmpdir(), "storage-"));
    const storage = await openLogStorage(options());
    await storage.append(Array.from({ length: count }, (_, at) => entry(at + 1)));
    await storage.close();
    blockedStorage = await openLogStorage({ ...options(), fileSystem: createBlockedFileSystem() });
    // Opening writes too, so that the writes are blocked only now.
    blockLaterWrites();
});

When(
    "entries {int} to {int} are appended and entries {int} to {int} are read before the write completes",
    async (first: number, last: number, from: number, to: number) => {
        const appending = blockedStorage.append(
            Array.from({ length: last + 1 - first }, (_, at) => entry(first + at)),
        );
        entriesRead = await blockedStorage.read(from, to + 1);
        releaseWrites();
        await appending;
        await blockedStorage.close();
    },
);

Then("all {int} entries are read", (count: number) => {
    assert.deepEqual(entriesRead.map(({ index }) => index), Array.from({ length: count }, (_, at) => at + 1));
});
