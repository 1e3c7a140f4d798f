import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import type { FileHandle } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type FileSystem, NODE_FILE_SYSTEM } from "./file-system.js";
import type { LogStorage, StoredEntry } from "./log-storage.js";
import { openLogStorage } from "./open-log-storage.js";

const SNAPSHOT = /snapshot/;
const SNAPSHOT_BYTES = 1_000;
/** Time after which a `close` that waits for the snapshot is left to finish, in milliseconds. */
const CLOSE_TIMEOUT_MS = 300;

let folder: string | undefined;
let closing: LogStorage;
let saving: Promise<unknown>;
let opened: LogStorage;
let isFull: boolean;
let releaseSnapshot: () => void;

const open = (fileSystem: FileSystem) =>
    openLogStorage({
        folder: join(folder ?? "", "data"),
        clusterId: "sibiu",
        replicaId: "control-1",
        isFolderPrivate: true,
        segmentBytes: 200,
        fileSystem,
    });
const createEntries = (first: number, count: number): readonly StoredEntry[] =>
    Array.from({ length: count }, (_, at) => ({ index: first + at, term: 1, payload: Buffer.alloc(100, first + at) }));
const sleep = (milliseconds: number) => new Promise<void>(resolve => setTimeout(resolve, milliseconds));

const failWhenFull = (handle: FileHandle): FileHandle =>
    new Proxy(handle, {
        get: (target, name) => {
            const member = Reflect.get(target, name) as unknown;
            if (typeof member !== "function") {
                return member;
            }
            return (...values: unknown[]) =>
                isFull && name === "write"
                    ? Promise.reject(Object.assign(new Error("ENOSPC: no space left on device"), { code: "ENOSPC" }))
                    : Reflect.apply(member, target, values) as unknown;
        },
    });

After(() => {
    if (folder !== undefined) {
        rmSync(folder, { recursive: true, force: true });
        folder = undefined;
    }
});

Given(
    "a log of {int} entries whose snapshot of entry {int} waits for the disk",
    async (count: number, index: number) => {
        folder = mkdtempSync(join(tmpdir(), "closed-storage-"));
        isFull = false;
        const released = new Promise<void>(resolve => {
            releaseSnapshot = resolve;
        });
        closing = await open({
            ...NODE_FILE_SYSTEM,
            open: async (path, flags) => {
                if (SNAPSHOT.test(String(path))) {
                    await released;
                }
                return failWhenFull(await NODE_FILE_SYSTEM.open(path, flags));
            },
        });
        await closing.append(createEntries(1, count));
        saving = closing.saveSnapshot({ index, term: 1, payload: Buffer.alloc(SNAPSHOT_BYTES, 7) })
            .catch((error: unknown) => error);
    },
);
When("the storage is closed {} and opened again", async (condition: string) => {
    if (condition === "after an append failed") {
        isFull = true;
        await assert.rejects(closing.append(createEntries(7, 1)));
        isFull = false;
    }
    const hasClosed = await Promise.race([
        closing.close().then(() => true),
        sleep(CLOSE_TIMEOUT_MS).then(() => false),
    ]);
    if (!hasClosed) {
        releaseSnapshot();
        await closing.close();
        await saving;
    }
    opened = await open({
        ...NODE_FILE_SYSTEM,
        rename: async (from, to) => {
            if (SNAPSHOT.test(String(to))) {
                releaseSnapshot();
                await saving;
            }
            await NODE_FILE_SYSTEM.rename(from, to);
        },
    });
});
When(
    "{int} entries are appended, and a snapshot of entry {int} is saved while the disk of the closed storage works again",
    async (count: number, index: number) => {
        await opened.append(createEntries(opened.lastIndex + 1, count));
        const snapshot = { index, term: 1, payload: Buffer.alloc(SNAPSHOT_BYTES, 9) };
        await opened.saveSnapshot(snapshot).catch(() => undefined);
        await opened.close();
    },
);
Then(
    "the storage can be opened with {int} entries and the snapshot of entry {int}",
    async (count: number, index: number) => {
        const storage = await open(NODE_FILE_SYSTEM);
        assert.equal(storage.lastIndex, count);
        assert.equal(storage.snapshot?.index, index);
        await storage.close();
    },
);
