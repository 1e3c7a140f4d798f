/**
 * Measures the time and memory that a restart takes, against the length of the log, without compaction.
 *
 * Usage: node --conditions=source --expose-gc --import tsx packages/bench/src/slopes/consensus-restart.ts
 *     build|restart <data folder> <entries>
 *
 * `build` writes the log. `restart`, to be run in a process of its own, opens it with a replica that is the only voter
 * and waits until the replica has applied every entry.
 */
import { createReplica, createSystemClock, openLogStorage } from "@hyssopfront/coordination";

const PAYLOAD_BYTES = 256;
const BUILD_CLIENTS = 512;

const [action, folder, count] = process.argv.slice(2);
const entries = Number(count);
if ((action !== "build" && action !== "restart") || folder === undefined || !Number.isInteger(entries)) {
    throw new Error("The arguments must be: build|restart <data folder> <entries>.");
}

const usedBytes = () => {
    (globalThis as { gc?: () => void }).gc?.();
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
};

const clock = createSystemClock();
const memoryBefore = usedBytes();
const startedAt = performance.now();
const storage = await openLogStorage({ folder, clusterId: "bench", replicaId: "control-1" });
const openedAt = performance.now();
let applied = 0;
let appliedAt = 0;
const replica = createReplica({
    groupId: "bench",
    self: "control-1",
    clock,
    random: Math.random,
    storage,
    initialVoters: [{ name: "control-1" }],
    call: () => Promise.reject(new Error("There are no peers.")),
    apply: () => {
        applied++;
        appliedAt = performance.now();
    },
    takeSnapshot: () => new Uint8Array(),
    restoreSnapshot: () => undefined,
    snapshotEveryEntries: Infinity,
});
replica.start();
let electedAt: number | undefined;
while (!replica.holdsLeaderLease()) {
    await clock.sleep(1);
    electedAt ??= replica.status().leader === undefined ? undefined : performance.now();
}

if (action === "build") {
    let remaining = entries;
    const payload = new Uint8Array(PAYLOAD_BYTES);
    await Promise.all(Array.from({ length: BUILD_CLIENTS }, async () => {
        while (remaining-- > 0) {
            await replica.propose(payload);
        }
    }));
}
else {
    const memory = (usedBytes() - memoryBefore) / 1024 / 1024;
    process.stdout.write(
        `${applied} entries: open ${(openedAt - startedAt).toFixed(0)} ms, `
            + `apply after election ${(appliedAt - (electedAt ?? openedAt)).toFixed(0)} ms, `
            + `memory ${memory.toFixed(1)} MB, peak RSS ${(process.resourceUsage().maxRSS / 1024).toFixed(0)} MB\n`,
    );
}
await replica.stop();
await storage.close();
