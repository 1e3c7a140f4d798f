import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { FileSystem } from "./file-system.js";
import type { LogStorage, StoredEntry } from "./log-storage.js";
import { openLogStorage } from "./open-log-storage.js";
import type { PowerLossDisk } from "./power-loss-file-system.steps.js";
import { createPowerLossDisk, createRandom, Fate } from "./power-loss-file-system.steps.js";

const FOLDER = "/var/storage";

let disk: PowerLossDisk;

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
