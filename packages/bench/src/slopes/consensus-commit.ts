/**
 * Measures the commit latency of a group of in-process replicas on real disks, and the share of it that the fsync of
 * the leader takes.
 *
 * Usage: node --conditions=source --import tsx packages/bench/src/slopes/consensus-commit.ts [data folder]
 */
import {
    type Clock,
    createReplica,
    createSystemClock,
    type FileSystem,
    type LogStorage,
    NODE_FILE_SYSTEM,
    openLogStorage,
    type Replica,
} from "@hyssopfront/coordination";
import { build as buildHistogram, type Histogram } from "hdr-histogram-js";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const PAYLOAD_BYTES = 256;
const SEQUENTIAL_CHANGES = 1_000;
const CONCURRENT_CHANGES = 20_000;
const CONCURRENT_CLIENTS = 64;

type Group = { readonly leader: Replica; readonly fsyncs: Histogram; readonly stop: () => Promise<void> };

const clock: Clock = createSystemClock();
const createHistogram = () => buildHistogram({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
const recordMicroseconds = (histogram: Histogram, startedAt: number) =>
    histogram.recordValue(Math.max(1, Math.round((performance.now() - startedAt) * 1_000)));

/** Creates a file system that records the duration of each fdatasync. */
const timedFileSystem = (fsyncs: Histogram): FileSystem => ({
    ...NODE_FILE_SYSTEM,
    open: async (...openArguments: Parameters<FileSystem["open"]>) => {
        const handle = await NODE_FILE_SYSTEM.open(...openArguments);
        const datasync = handle.datasync.bind(handle);
        handle.datasync = async () => {
            const startedAt = performance.now();
            await datasync();
            recordMicroseconds(fsyncs, startedAt);
        };
        return handle;
    },
});

const startGroup = async (size: number, folder: string): Promise<Group> => {
    const names = Array.from({ length: size }, (_, at) => `control-${at + 1}`);
    const fsyncs = new Map(names.map(name => [name, createHistogram()]));
    const storages = new Map<string, LogStorage>();
    const replicas = new Map<string, Replica>();
    for (const name of names) {
        const fileSystem = timedFileSystem(fsyncs.get(name)!);
        const options = { folder: join(folder, `${size}`, name), clusterId: "bench", replicaId: name, fileSystem };
        storages.set(name, await openLogStorage(options));
    }
    names.forEach(name => {
        replicas.set(
            name,
            createReplica({
                groupId: "bench",
                self: name,
                clock,
                random: Math.random,
                storage: storages.get(name)!,
                initialVoters: names.map(voter => ({ name: voter })),
                call: (peer, message) => replicas.get(peer)!.handle(name, message),
                apply: ({ index }) => index,
                takeSnapshot: () => new Uint8Array(),
                restoreSnapshot: () => undefined,
            }),
        );
    });
    replicas.forEach(replica => replica.start());
    const findLeader = () => names.find(name => replicas.get(name)!.holdsLeaderLease());
    while (findLeader() === undefined) {
        await clock.sleep(10);
    }
    const leader = findLeader()!;
    const stop = async () => {
        await Promise.all([...replicas.values()].map(replica => replica.stop()));
        await Promise.all([...storages.values()].map(storage => storage.close()));
    };
    return { leader: replicas.get(leader)!, fsyncs: fsyncs.get(leader)!, stop };
};

const measure = async (group: Group, changes: number, clients: number) => {
    const latencies = createHistogram();
    const payload = new Uint8Array(PAYLOAD_BYTES);
    group.fsyncs.reset();
    let remaining = changes;
    const startedAt = performance.now();
    await Promise.all(Array.from({ length: clients }, async () => {
        while (remaining-- > 0) {
            const proposedAt = performance.now();
            await group.leader.propose(payload);
            recordMicroseconds(latencies, proposedAt);
        }
    }));
    const seconds = (performance.now() - startedAt) / 1_000;
    const milliseconds = (histogram: Histogram, percentile: number) =>
        (histogram.getValueAtPercentile(percentile) / 1_000).toFixed(2);
    const share = group.fsyncs.mean / latencies.mean;
    return `${clients} clients: ${Math.round(changes / seconds)} changes/s, `
        + `commit p50 ${milliseconds(latencies, 50)} ms, p99 ${milliseconds(latencies, 99)} ms, `
        + `leader fsync p50 ${milliseconds(group.fsyncs, 50)} ms, p99 ${milliseconds(group.fsyncs, 99)} ms, `
        + `${group.fsyncs.totalCount} fsyncs (${(changes / group.fsyncs.totalCount).toFixed(1)} changes each), `
        + `mean fsync / mean commit ${share.toFixed(2)}`;
};

const folder = mkdtempSync(join(process.argv[2] ?? tmpdir(), "consensus-commit-"));
try {
    for (const size of [3, 5]) {
        const group = await startGroup(size, folder);
        process.stdout.write(`${size} replicas, ${await measure(group, SEQUENTIAL_CHANGES, 1)}\n`);
        process.stdout.write(`${size} replicas, ${await measure(group, CONCURRENT_CHANGES, CONCURRENT_CLIENTS)}\n`);
        await group.stop();
    }
}
finally {
    rmSync(folder, { recursive: true, force: true });
}
