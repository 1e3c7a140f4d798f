/**
 * Random histories of one storage, with kills, disk failures and losses of power.
 */
import assert from "node:assert/strict";
import type { LogStorage } from "./log-storage.js";
import { openLogStorage } from "./open-log-storage.js";
import { createPowerLossDisk, createRandom, Fate } from "./power-loss-file-system.steps.js";

const STEPS = 60;

/** What must be found after any fault. Numbers identify the written entries; no two entries have the same one. */
type Expected = {
    /** Numbers of the acknowledged entries, by index. */
    entries: Map<number, number>;
    /** Numbers of removed entries, which must not reappear. */
    readonly removed: Set<number>;
    term: number;
    snapshotIndex: number;
};

/** Runs one history; throws when something that must be kept is lost or when the storage cannot be opened. */
export async function runRandomHistory(seed: number): Promise<void> {
    const random = createRandom(seed);
    const below = (limit: number) => Math.floor(random() * limit);
    const disk = createPowerLossDisk(random);
    const expected: Expected = { entries: new Map(), removed: new Set(), term: 0, snapshotIndex: 0 };
    /** Index of each written entry, by number. */
    const written = new Map<number, number>();
    let number = 0;
    let operationsUntilFault = Infinity;
    let fault = Fate.Done;
    let isKilled = true;

    const decideFate = () => {
        if (--operationsUntilFault > 0) {
            return Fate.Done;
        }
        operationsUntilFault = Infinity;
        isKilled ||= fault === Fate.Killed;
        return fault;
    };

    const armFault = () => {
        operationsUntilFault = random() < 0.5 ? 1 + below(12) : Infinity;
        fault = random() < 0.5 ? Fate.Killed : Fate.Failed;
    };

    const checkFound = async (storage: LogStorage) => {
        const snapshotIndex = storage.snapshot?.index ?? 0;
        assert.ok(snapshotIndex >= expected.snapshotIndex, `Snapshot ${expected.snapshotIndex} is lost.`);
        assert.ok(storage.hardState.term >= expected.term, `The vote in term ${expected.term} is lost.`);
        const found = storage.lastIndex < storage.firstIndex
            ? []
            : await storage.read(storage.firstIndex, storage.lastIndex + 1);
        const numbers = new Map(found.map(entry => [entry.index, Number(Buffer.from(entry.payload).toString())]));
        expected.entries.forEach((value, index) => {
            if (index > snapshotIndex) {
                assert.equal(numbers.get(index), value, `Entry ${index} is lost.`);
            }
        });
        numbers.forEach((value, index) => {
            assert.ok(!expected.removed.has(value), `Removed entry ${index} reappeared.`);
        });
        const kept = new Set(numbers.values());
        [...written.keys()].filter(value => !kept.has(value)).forEach(value => expected.removed.add(value));
        Object.assign(expected, { entries: numbers, term: storage.hardState.term, snapshotIndex });
    };

    /** Opens the storage; a disk failure while it opens is retried, as callers do. */
    const open = async (): Promise<LogStorage> => {
        for (let attempt = 0;; attempt++) {
            if (isKilled) {
                isKilled = false;
                if (random() < 0.6) {
                    disk.losePower();
                }
                fileSystem = disk.startProcess(decideFate);
            }
            armFault();
            const hadFault = operationsUntilFault < Infinity;
            const storage = await openLogStorage({
                folder: "/var/storage",
                clusterId: "sibiu",
                replicaId: "control-1",
                isFolderPrivate: true,
                segmentBytes: 200,
                fileSystem,
            }).catch((error: unknown) => {
                const isInjected = hadFault && operationsUntilFault === Infinity && attempt < 100;
                if (!isInjected) {
                    throw error;
                }
                return undefined;
            });
            if (storage !== undefined) {
                return storage;
            }
        }
    };

    const appendSome = async (storage: LogStorage) => {
        const batches = Array.from({ length: 1 + below(3) }, () => 1 + below(3));
        let index = storage.lastIndex;
        await Promise.all(batches.map(async size => {
            const entries = Array.from({ length: size }, () => {
                written.set(++number, ++index);
                return { index, term: number, payload: Buffer.from(String(number)) };
            });
            await storage.append(entries);
            entries.forEach(entry => expected.entries.set(entry.index, entry.term));
        }));
    };

    /** Forgets the entries after `last`, which the next operation removes. */
    const removeAfter = async (last: number, operation: () => Promise<void>) => {
        const removed = [...written].filter(([, index]) => index > last).map(([value]) => value);
        [...expected.entries.keys()].filter(index => index > last).forEach(index => expected.entries.delete(index));
        await operation();
        removed.forEach(value => expected.removed.add(value));
    };

    const runOperation = async (storage: LogStorage) => {
        const choice = random();
        const { firstIndex, lastIndex } = storage;
        if (choice < 0.55) {
            await appendSome(storage);
        }
        else if (choice < 0.75) {
            const term = storage.hardState.term + 1;
            await storage.saveHardState({ term, votedFor: "control-2" });
            expected.term = term;
        }
        else if (choice < 0.85 && lastIndex >= Math.max(firstIndex, expected.snapshotIndex + 1)) {
            const first = Math.max(firstIndex, expected.snapshotIndex + 1);
            const index = first + below(lastIndex + 1 - first);
            await removeAfter(index - 1, () => storage.truncateFrom(index));
        }
        else if (choice < 0.95 && lastIndex > expected.snapshotIndex) {
            const index = expected.snapshotIndex + 1 + below(lastIndex - expected.snapshotIndex);
            const term = storage.termAt(index)!;
            await storage.saveSnapshot({ index, term, payload: Buffer.from("state") });
            expected.snapshotIndex = index;
        }
        else {
            const index = expected.snapshotIndex + 1 + below(lastIndex - expected.snapshotIndex + 5);
            await removeAfter(index, async () => {
                await storage.saveSnapshot({ index, term: ++number, payload: Buffer.from("state") }, true);
                expected.snapshotIndex = index;
            });
        }
    };

    let fileSystem = disk.startProcess(decideFate);
    let storage: LogStorage | undefined;
    for (let step = 0; step < STEPS; step++) {
        if (storage === undefined) {
            storage = await open();
            operationsUntilFault = Infinity;
            await checkFound(storage);
        }
        armFault();
        const failure = await runOperation(storage).then(() => undefined, (error: unknown) => error ?? "unknown");
        operationsUntilFault = Infinity;
        const isEnding = random() < 0.1;
        if (failure === undefined && !isEnding) {
            continue;
        }
        if (isEnding && !isKilled) {
            disk.kill();
            isKilled = true;
        }
        await storage.close();
        storage = undefined;
    }
    await storage?.close();
}
