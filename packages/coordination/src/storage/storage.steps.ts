import { After, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { ChildProcessWithoutNullStreams } from "node:child_process";
import { spawn } from "node:child_process";
import { cpSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import type { FileHandle } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { FileSystem } from "./file-system.js";
import { NODE_FILE_SYSTEM } from "./file-system.js";
import type { LogStorage, StoredEntry } from "./log-storage.js";
import { openLogStorage } from "./open-log-storage.js";
import { RECORD_HEADER_BYTES, SEGMENT_HEADER_BYTES } from "./record.js";
import { StorageError } from "./storage-error.js";

// Generous limit that only stops a run that hangs.
setDefaultTimeout(120_000);

let folders: string[] = [];
let children: ChildProcessWithoutNullStreams[] = [];
let folder: string;
/** End offset of each record of the log under test. */
let recordEnds: number[];
let fileSystem: FileSystem | undefined;
let failure: unknown;
let acknowledgedIndex: number;
let syncCount: number;

const newFolder = () => {
    const path = mkdtempSync(join(tmpdir(), "storage-"));
    folders.push(path);
    return path;
};

After(() => {
    children.forEach(child => child.kill("SIGKILL"));
    folders.forEach(path => rmSync(path, { recursive: true, force: true }));
    folders = [];
    children = [];
    fileSystem = undefined;
});

const open = (path: string, extra: { fileSystem?: FileSystem; segmentBytes?: number; replicaId?: string } = {}) =>
    openLogStorage({ folder: path, clusterId: "sibiu", replicaId: "control-1", ...extra });

const entry = (index: number, term = 1): StoredEntry => ({
    index,
    term,
    payload: Buffer.from(`payload ${index}/${term}`),
});

const firstSegmentPath = (path: string) =>
    join(path, readdirSync(path).filter(name => name.endsWith(".segment")).sort()[0]!);

const assertEntries = async (storage: LogStorage, from: number, to: number) => {
    const entries = await storage.read(from, to + 1);
    assert.equal(entries.length, to + 1 - from);
    entries.forEach(({ index, term, payload }) =>
        assert.equal(Buffer.from(payload).toString(), `payload ${index}/${term}`)
    );
};

/** Creates a file system that calls `beforeOperation` before each operation, so that a test can count or fail it. */
const wrapFileSystem = (beforeOperation: (operation: string, bytes: number) => void): FileSystem => {
    const wrapHandle = (handle: FileHandle): FileHandle =>
        new Proxy(handle, {
            get: (target, name) => {
                const member = Reflect.get(target, name) as unknown;
                if (typeof member !== "function") {
                    return member;
                }
                return (...values: unknown[]) => {
                    if (["write", "sync", "datasync", "truncate"].includes(String(name))) {
                        beforeOperation(String(name), name === "write" ? values[2] as number : 0);
                    }
                    return Reflect.apply(member, target, values) as unknown;
                };
            },
        });
    return {
        ...NODE_FILE_SYSTEM,
        open: async (...values: Parameters<FileSystem["open"]>) => {
            if (values[1] !== "r") {
                beforeOperation("open", 0);
            }
            return wrapHandle(await NODE_FILE_SYSTEM.open(...values));
        },
        rename: async (from, to) => {
            beforeOperation("rename", 0);
            await NODE_FILE_SYSTEM.rename(from, to);
        },
        unlink: async path => {
            beforeOperation("unlink", 0);
            await NODE_FILE_SYSTEM.unlink(path);
        },
    };
};

Given(
    "a log of {int} acknowledged entries, the last {int} of them in one write",
    async (count: number, batchSize: number) => {
        folder = newFolder();
        const storage = await open(folder);
        recordEnds = [];
        const size = () => readFileSync(firstSegmentPath(folder)).length;
        for (let index = 1; index <= count - batchSize; index++) {
            await storage.append([entry(index)]);
            recordEnds.push(size());
        }
        const last = Array.from({ length: batchSize }, (_, at) => entry(count - batchSize + 1 + at));
        await storage.append(last);
        last.forEach(({ payload }) => recordEnds.push(recordEnds.at(-1)! + RECORD_HEADER_BYTES + payload.length));
        assert.equal(recordEnds.at(-1), size());
        await storage.close();
    },
);

const checkEveryTruncation = async (records: number, damage: (bytes: Buffer, fileLength: number) => Buffer) => {
    const bytes = readFileSync(firstSegmentPath(folder));
    const first = recordEnds.at(-1 - records)!;
    for (let fileLength = first; fileLength < bytes.length; fileLength++) {
        const copy = newFolder();
        cpSync(folder, copy, { recursive: true });
        writeFileSync(firstSegmentPath(copy), damage(bytes, fileLength));
        const keptCount = recordEnds.filter(end => end <= fileLength).length;
        const storage = await open(copy);
        assert.ok(
            storage.lastIndex >= keptCount,
            `Only ${storage.lastIndex} of ${keptCount} entries are left after truncation at byte ${fileLength}.`,
        );
        await assertEntries(storage, 1, storage.lastIndex);
        await storage.append([entry(storage.lastIndex + 1, 2)]);
        await storage.close();
        const reopened = await open(copy);
        await assertEntries(reopened, 1, keptCount + 1);
        await reopened.close();
    }
};

Then(
    "truncating the file at any byte of the last {int} records keeps all records before it and allows new appends",
    (records: number) => checkEveryTruncation(records, (bytes, fileLength) => bytes.subarray(0, fileLength)),
);

Then(
    "replacing the bytes after any such position with zeros is treated as an incomplete write",
    () =>
        checkEveryTruncation(
            5,
            (bytes, fileLength) =>
                Buffer.concat([bytes.subarray(0, fileLength), Buffer.alloc(bytes.length - fileLength)]),
        ),
);

const startChild = (path: string, action: string) => {
    const code = `import { openLogStorage } from ${JSON.stringify(join(import.meta.dirname, "open-log-storage.ts"))};
        const storage = await openLogStorage(${
        JSON.stringify({ folder: path, clusterId: "sibiu", replicaId: "control-1" })
    });
        const append = async index => {
            const payload = Buffer.from("payload " + index + "/1");
            await storage.append([{ index, term: 1, payload }]);
            process.stdout.write(index + "\\n");
        };
        ${action}`;
    const child = spawn(process.execPath, ["--import", "tsx", "--input-type=module", "--eval", code]);
    child.stderr.on("data", data => process.stdout.write(String(data)));
    children.push(child);
    return child;
};

const killChild = (child: ChildProcessWithoutNullStreams) =>
    new Promise<void>(resolve => {
        child.once("exit", () => resolve());
        child.kill("SIGKILL");
    });

Then(
    "a child process that is killed {int} times during appends never loses an acknowledged entry",
    async (times: number) => {
        const path = newFolder();
        for (let round = 0, last = 0; round < times; round++) {
            // Appends overlap, so that the kill interrupts writes of several entries.
            const child = startChild(
                path,
                "for (let i = storage.lastIndex + 1;; i++) { await Promise.race([append(i), "
                    + "new Promise(resolve => setImmediate(resolve))]); }",
            );
            let output = "";
            await new Promise<void>((resolve, reject) => {
                child.once("exit", code => reject(new Error(`The child process ended with ${code}.`)));
                child.stdout.on("data", data => {
                    output += String(data);
                    if (output.split("\n").length > 300) {
                        resolve();
                    }
                });
            });
            await killChild(child);
            const complete = output.slice(0, output.lastIndexOf("\n")).split("\n").map(Number);
            const storage = await open(path);
            assert.ok(complete.at(-1)! > last);
            assert.ok(storage.lastIndex >= Math.max(...complete), `Acknowledged ${complete.at(-1)}.`);
            await assertEntries(storage, 1, storage.lastIndex);
            last = storage.lastIndex;
            await storage.close();
        }
    },
);

/** Runs every kind of write; calls `recordState` with each state that is acknowledged. */
const runWorkload = async (path: string, wrapped: FileSystem, recordState: (state: Partial<LogStorage>) => void) => {
    const storage = await open(path, { fileSystem: wrapped, segmentBytes: 200 });
    const snapshot = (index: number, term: number) => ({ index, term, payload: Buffer.from(`state ${index}`) });
    try {
        for (let index = 1; index <= 12; index++) {
            await storage.append([entry(index)]);
            recordState({ lastIndex: index, lastTerm: 1 });
        }
        await storage.saveHardState({ term: 2, votedFor: "control-2" });
        recordState({ hardState: { term: 2, votedFor: "control-2" } });
        recordState({ lastIndex: 7 });
        await storage.truncateFrom(8);
        await storage.append([entry(8, 2), entry(9, 2)]);
        recordState({ lastIndex: 9, lastTerm: 2 });
        await storage.saveSnapshot(snapshot(6, 1));
        recordState({ snapshot: snapshot(6, 1) });
        for (let index = 10; index <= 18; index++) {
            await storage.append([entry(index, 2)]);
        }
        // A snapshot from the leader that conflicts with the log at an index in the middle of the log.
        recordState({ lastIndex: 10 });
        await storage.saveSnapshot(snapshot(10, 3), true);
        recordState({ snapshot: snapshot(10, 3), lastTerm: 3 });
        await storage.append([entry(11, 3)]);
        await storage.saveSnapshot(snapshot(20, 3), true);
        recordState({ snapshot: snapshot(20, 3), lastIndex: 20 });
        await storage.append([entry(21, 3)]);
        recordState({ lastIndex: 21 });
    }
    finally {
        await storage.close();
    }
};

Then(
    "appends, votes, truncations and snapshots acknowledged before a failure at any file operation are kept",
    async () => {
        let operations = 0;
        await runWorkload(newFolder(), wrapFileSystem(() => operations++), () => undefined);
        assert.ok(operations > 60);
        for (let failingOperation = 1; failingOperation <= operations; failingOperation++) {
            const path = newFolder();
            let state: Partial<LogStorage> = {};
            let count = 0;
            const wrapped = wrapFileSystem(() => {
                if (++count >= failingOperation) {
                    throw new Error("Simulated failure.");
                }
            });
            await assert.rejects(runWorkload(path, wrapped, next => state = { ...state, ...next }), StorageError);
            const storage = await open(path);
            const when = `after operation ${failingOperation}`;
            assert.ok(storage.lastIndex >= (state.lastIndex ?? 0), `Entries were lost ${when}.`);
            assert.ok(storage.lastTerm >= (state.lastTerm ?? 0), `A truncated entry reappeared ${when}.`);
            assert.ok(storage.hardState.term >= (state.hardState?.term ?? 0), `The vote was lost ${when}.`);
            assert.ok((storage.snapshot?.index ?? 0) >= (state.snapshot?.index ?? 0), `The snapshot was lost ${when}.`);
            await assertEntries(storage, storage.firstIndex, storage.lastIndex);
            await storage.append([entry(storage.lastIndex + 1, 4)]);
            await storage.close();
        }
    },
);

const assertRejected = async (path: string, step: string, pattern: RegExp, extra = {}) => {
    const error = await open(path, extra).then(storage => storage.close(), (reason: unknown) => reason);
    assert.ok(error instanceof StorageError, `The folder was not rejected in step ${step}: ${String(error)}.`);
    assert.equal(error.step, step);
    assert.match(error.message, pattern);
    assert.ok(error.path.startsWith(path) && error.advice !== "");
};

const assertChangeRejected = async (file: string, offset: number, step: string) => {
    const copy = newFolder();
    cpSync(folder, copy, { recursive: true });
    const bytes = readFileSync(join(copy, file));
    bytes[offset]! ^= 0x41;
    writeFileSync(join(copy, file), bytes);
    await assertRejected(copy, step, /damaged|gap|checksum/);
};

Then("a changed byte anywhere in the first record is rejected as corruption in step {string}", async (step: string) => {
    const file = readdirSync(folder).find(name => name.endsWith(".segment"))!;
    for (let offset = SEGMENT_HEADER_BYTES; offset < recordEnds[0]!; offset++) {
        await assertChangeRejected(file, offset, step);
    }
});

Then("a missing segment in the middle of a log is rejected as corruption in step {string}", async (step: string) => {
    const path = newFolder();
    const storage = await open(path, { segmentBytes: 100 });
    for (let index = 1; index <= 12; index++) {
        await storage.append([entry(index)]);
    }
    await storage.close();
    const names = readdirSync(path).filter(name => name.endsWith(".segment")).sort();
    assert.ok(names.length >= 3);
    rmSync(join(path, names[1]!));
    await assertRejected(path, step, /gap/);
});

Then(
    "a changed byte in the vote file is rejected as corruption in step {string}",
    (step: string) => assertChangeRejected("vote", 6, step),
);

Then("a missing identity file is rejected as corruption in step {string}", async (step: string) => {
    rmSync(join(folder, "identity"));
    await assertRejected(folder, step, /no identity file/);
});

Then("opening it for another cluster or another replica is rejected and the error names both", async () => {
    await assertRejected(folder, "identity", /control-1 of cluster sibiu.*control-2 of cluster sibiu/, {
        replicaId: "control-2",
    });
    await assertRejected(folder, "identity", /cluster sibiu.*cluster joensuu/, { clusterId: "joensuu" });
});

Given("a disk that is full after {int} bytes", (limit: number) => {
    let written = 0;
    folder = newFolder();
    fileSystem = wrapFileSystem((operation, bytes) => {
        written += bytes;
        if (operation === "write" && written > limit) {
            // Space is free again at once, but the storage must not continue after a write that may be partial.
            written = -Infinity;
            throw Object.assign(new Error("ENOSPC: no space left on device, write"), { code: "ENOSPC" });
        }
    });
});

When("entries are appended until one fails", async () => {
    const storage = await open(folder, { fileSystem });
    acknowledgedIndex = 0;
    failure = undefined;
    for (let index = 1; failure === undefined; index++) {
        await storage.append([entry(index)]).then(() => acknowledgedIndex = index, (error: unknown) => failure = error);
    }
    await assert.rejects(storage.append([entry(storage.lastIndex + 1)]), StorageError);
    await assert.rejects(storage.saveHardState({ term: 9, votedFor: undefined }), StorageError);
    await storage.close();
});

Then("the failure tells the operator to free space and every later write fails", () => {
    assert.ok(failure instanceof StorageError);
    assert.match(failure.message, /The disk is full: free space on it/);
    assert.equal(failure.step, "append");
    assert.ok(acknowledgedIndex > 10);
});

Then("all acknowledged entries are found once there is free space", async () => {
    const storage = await open(folder);
    await assertEntries(storage, 1, acknowledgedIndex);
    await storage.close();
});

Given("a child process that has locked a folder", async () => {
    folder = newFolder();
    const child = startChild(folder, "await append(1); setInterval(() => undefined, 1000);");
    await new Promise(resolve => child.stdout.once("data", resolve));
});

Then(
    "opening the folder in this process is rejected in step {string}",
    (step: string) => assertRejected(folder, step, /in use/),
);

Then("opening it succeeds as soon as the child process is killed", async () => {
    await killChild(children[0]!);
    const storage = await open(folder);
    await assertEntries(storage, 1, 1);
    await storage.close();
});

When("{int} appends run at the same time", async (count: number) => {
    syncCount = 0;
    const wrapped = wrapFileSystem(operation => syncCount += operation === "datasync" ? 1 : 0);
    const storage = await open(newFolder(), { fileSystem: wrapped });
    await Promise.all(Array.from({ length: count }, (_, at) => storage.append([entry(at + 1)])));
    await assertEntries(storage, 1, count);
    await storage.close();
});

Then(
    "the log was synced at most {int} time",
    (limit: number) => assert.ok(syncCount <= limit, `${syncCount} syncs.`),
);

Then("truncations, later entries and snapshots are found unchanged after each reopening", async () => {
    const path = newFolder();
    await runWorkload(path, NODE_FILE_SYSTEM, () => undefined);
    const storage = await open(path, { segmentBytes: 200 });
    assert.deepEqual([storage.firstIndex, storage.lastIndex, storage.lastTerm], [21, 21, 3]);
    assert.equal(Buffer.from(storage.snapshot!.payload).toString(), "state 20");
    assert.deepEqual(storage.hardState, { term: 2, votedFor: "control-2" });
    for (let index = 22; index <= 40; index++) {
        await storage.append([entry(index, 3)]);
    }
    await storage.truncateFrom(30);
    await storage.append([entry(30, 5)]);
    await storage.saveSnapshot({ index: 28, term: 3, payload: Buffer.from("state 28") });
    await storage.close();
    const reopened = await open(path, { segmentBytes: 200 });
    assert.ok(reopened.firstIndex > 21 && reopened.firstIndex <= 29);
    assert.deepEqual([reopened.lastIndex, reopened.lastTerm, reopened.termAt(29)], [30, 5, 3]);
    await assertEntries(reopened, reopened.firstIndex, 30);
    await reopened.close();
});
