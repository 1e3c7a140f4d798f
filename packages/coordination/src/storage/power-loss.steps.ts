import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { FileSystem } from "./file-system.js";
import type { LogStorage, StoredEntry } from "./log-storage.js";
import { openLogStorage } from "./open-log-storage.js";
import type { DecideFate, PowerLossDisk } from "./power-loss-file-system.steps.js";
import { createPowerLossDisk, createRandom, Fate } from "./power-loss-file-system.steps.js";
import { runRandomHistory } from "./random-histories.steps.js";

const FOLDER = "/var/storage";

let disk: PowerLossDisk;
let closing: LogStorage;
let snapshotOperations: string[];

const open = (fileSystem: FileSystem): Promise<LogStorage> =>
    openLogStorage({
        folder: FOLDER,
        clusterId: "sibiu",
        replicaId: "control-1",
        isFolderPrivate: true,
        segmentBytes: 200,
        fileSystem,
    });

const startProcess = () => disk.startProcess(() => Fate.Done);

const entry = (index: number): StoredEntry => ({ index, term: 1, payload: Buffer.from(`payload ${index}`) });

const appendNext = (storage: LogStorage, count: number) =>
    storage.append(Array.from({ length: count }, (_, at) => entry(storage.lastIndex + 1 + at)));

const snapshot = (index: number, term: number) => ({ index, term, payload: Buffer.from(`state ${index}`) });

/** Writes to a storage that has 9 entries in several segments. */
const WRITES: Readonly<Record<string, (storage: LogStorage) => Promise<unknown>>> = {
    append: storage => appendNext(storage, 3),
    "append a new segment": async storage => {
        await appendNext(storage, 3);
        await appendNext(storage, 3);
    },
    truncate: storage => storage.truncateFrom(5),
    "save vote": storage => storage.saveHardState({ term: 7, votedFor: "control-2" }),
    "save snapshot": storage => storage.saveSnapshot(snapshot(8, 1)),
    "install snapshot": storage => storage.saveSnapshot(snapshot(12, 2), true),
};

/** Runs the named write on a new disk until the fate of one of its operations ends it. */
const runWrite = async (write: string, seed: number, decideFate: DecideFate): Promise<FileSystem> => {
    disk = createPowerLossDisk(createRandom(seed));
    let isArmed = write === "create storage";
    const fileSystem = disk.startProcess((operation, path) => isArmed ? decideFate(operation, path) : Fate.Done);
    if (isArmed) {
        await open(fileSystem).then(storage => storage.close(), () => undefined);
        isArmed = false;
        return fileSystem;
    }
    const storage = await open(fileSystem);
    await appendNext(storage, 3);
    await appendNext(storage, 3);
    await appendNext(storage, 3);
    isArmed = true;
    await WRITES[write]!(storage).catch(() => undefined);
    isArmed = false;
    await storage.close();
    return fileSystem;
};

/** Everything that a caller relies on once a storage is open. */
const describe = async (storage: LogStorage) => {
    const { firstIndex, lastIndex, lastTerm, hardState, storeId } = storage;
    const entries = firstIndex > lastIndex ? [] : await storage.read(firstIndex, lastIndex + 1);
    return {
        storeId,
        hardState,
        lastTerm,
        snapshot: storage.snapshot?.index,
        entries: entries.map(({ index, payload }) => `${index}: ${Buffer.from(payload).toString()}`),
    };
};

/**
 * Gives each operation of a write the fate in turn, then opens the storage and compares what it finds with what is
 * found after a loss of power.
 */
const checkFoundState = async (write: string, fate: Fate, nextFileSystem: (current: FileSystem) => FileSystem) => {
    let isFateReached = true;
    for (let at = 1; isFateReached; at++) {
        for (let seed = 1; seed <= 10; seed++) {
            let count = 0;
            isFateReached = false;
            const current = await runWrite(write, seed, () => {
                isFateReached ||= ++count === at;
                return count === at ? fate : Fate.Done;
            });
            const found = await describe(await open(nextFileSystem(current)));
            disk.losePower(seed % 2 === 0);
            const kept = await open(startProcess()).then(describe, (error: unknown) => String(error));
            assert.deepEqual(kept, found, `After operation ${at} of "${write}", seed ${seed}.`);
        }
    }
};

Given("a disk without data folder", () => {
    disk = createPowerLossDisk(createRandom(1));
});

When("{int} entries are appended and the power fails", async (count: number) => {
    await appendNext(await open(startProcess()), count);
    disk.losePower(true);
});

Then("the storage is opened with {int} entries", async (count: number) => {
    assert.equal((await open(startProcess())).lastIndex, count);
});

Then(
    "what is found after a kill during any file operation of {string} survives a loss of power",
    (write: string) => checkFoundState(write, Fate.Killed, startProcess),
);

Then(
    "after a kill during any file operation of {string} and another during an append, what was found is kept",
    async (write: string) => {
        let isKillReached = true;
        for (let at = 1; isKillReached; at++) {
            for (let seed = 1; seed <= 100; seed++) {
                let count = 0;
                isKillReached = false;
                await runWrite(write, seed, () => {
                    isKillReached ||= ++count === at;
                    return count === at ? Fate.Killed : Fate.Done;
                });
                let isAppending = false;
                const storage = await open(
                    disk.startProcess(operation => isAppending && operation === "datasync" ? Fate.Killed : Fate.Done),
                );
                const found = await describe(storage);
                isAppending = true;
                await appendNext(storage, 3).catch(() => undefined);
                disk.losePower();
                const kept = await open(startProcess()).then(describe, (error: unknown) => String(error));
                assert.ok(typeof kept !== "string", `After operation ${at} of "${write}", seed ${seed}: ${kept}`);
                assert.deepEqual(kept.entries.slice(0, found.entries.length), found.entries);
            }
        }
    },
);

Then(
    "what is found after a disk failure in any file operation of {string} survives a loss of power",
    (write: string) => checkFoundState(write, Fate.Failed, current => current),
);

Then(
    "{int} random histories from seed {int} lose nothing that was acknowledged or found by an opened storage",
    async (count: number, firstSeed: number) => {
        for (let seed = firstSeed; seed < firstSeed + count; seed++) {
            await runRandomHistory(seed).catch((error: unknown) => {
                throw new Error(`The history with seed ${seed} failed: ${String(error)}`, { cause: error });
            });
        }
    },
);

/** Passes turns of the event loop. */
const pass = async (turns: number) => {
    for (let turn = 0; turn < turns; turn++) {
        await new Promise(resolve => setImmediate(resolve));
    }
};

Given("a storage whose snapshot is being written", async () => {
    disk = createPowerLossDisk(createRandom(1));
    snapshotOperations = [];
    const fileSystem = disk.startProcess((operation, path) => {
        if (path.includes("snapshot")) {
            snapshotOperations.push(operation);
        }
        return Fate.Done;
    });
    closing = await open({
        ...fileSystem,
        open: async (...values) => {
            await pass(values[1] === "w" ? 10 : 0);
            return fileSystem.open(...values);
        },
    });
    await appendNext(closing, 3);
    closing.saveSnapshot(snapshot(3, 1)).catch(() => undefined);
});

Then("closing the storage waits until the snapshot has been written", async () => {
    await closing.close();
    const countAtClose = snapshotOperations.length;
    await pass(50);
    assert.ok(countAtClose > 0);
    assert.deepEqual(snapshotOperations.slice(countAtClose), []);
});
