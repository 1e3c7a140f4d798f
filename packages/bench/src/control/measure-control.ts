/**
 * Measures the time to commit a change and to bring it in force, through the operators' API of control processes.
 *
 * Usage: node --conditions=source --import tsx packages/bench/src/control/measure-control.ts
 *     [replicas] [entries] [changes]
 */
import { createSystemClock } from "@hyssopfront/coordination";
import { build } from "hdr-histogram-js";
import { closeSync, fsyncSync, mkdtempSync, openSync, rmSync, writeSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { prepareControlCluster } from "./control-cluster.js";
import { sendOperatorRequest } from "./operator-client.js";
import { startSimulatedEntry } from "./simulated-entry.js";

const MICROSECONDS = 1_000;
const POLL_MS = 2;
const PAUSE_MS = 20;
const SETTLE_MS = 60_000;

const [replicas = 3, entryCount = 7, changes = 300] = process.argv.slice(2).map(Number);
const clock = createSystemClock();
const now = () => clock.monotonicMilliseconds();
const folder = mkdtempSync(join(tmpdir(), "measure-control-"));
const histogram = () => build({ lowestDiscernibleValue: 1, highestTrackableValue: 120_000_000 });
const commitAtLeader = histogram();
const commitAtFollower = histogram();
const inForce = histogram();
const fsync = histogram();
/** Answered by one instance alone: the part of the other figures that is HTTP and the machine. */
const localRead = histogram();

const print = (name: string, measured: ReturnType<typeof histogram>) => {
    const [median, high, highest] = [50, 99, 100]
        .map(percentile => (measured.getValueAtPercentile(percentile) / MICROSECONDS).toFixed(1));
    const line = `${name}: p50 ${median} ms, p99 ${high} ms, maximum ${highest} ms, ${measured.totalCount} samples`;
    process.stdout.write(`${line}\n`);
};

const measureFsync = () => {
    const file = openSync(join(folder, "fsync"), "w");
    for (let count = 0; count < 100; count += 1) {
        const startedAt = now();
        writeSync(file, Buffer.alloc(300));
        fsyncSync(file);
        fsync.recordValue(Math.round((now() - startedAt) * MICROSECONDS));
    }
    closeSync(file);
};

type Status = { inForce?: { leader: string; revision: number; configurationRevision: number } };

const cluster = await prepareControlCluster(replicas, folder);
const names = cluster.instances.map(instance => instance.name);
const readStatus = async (name: string) =>
    (await sendOperatorRequest(cluster, name, "GET", "/v1/status")).body as Status;

const settle = async () => {
    const deadline = now() + SETTLE_MS;
    for (;;) {
        const { inForce: status } = await readStatus(names[0] as string);
        if (status !== undefined && status.revision >= entryCount && status.revision === status.configurationRevision) {
            return status.leader;
        }
        if (now() > deadline) {
            throw new Error(`The entries did not settle: ${JSON.stringify(status)}.`);
        }
        await clock.sleep(100);
    }
};

const isInForce = async (leader: string, path: string) => {
    const { body } = await sendOperatorRequest(cluster, leader, "GET", path);
    const { conditions } = body.status as { conditions: { type: string; status: string }[] };
    return conditions.some(condition => condition.type === "InForce" && condition.status === "True");
};

const measureLocalRead = async (name: string) => {
    for (let count = 0; count < 100; count += 1) {
        const startedAt = now();
        await sendOperatorRequest(cluster, name, "GET", "/v1/shifts?fresh=false");
        localRead.recordValue(Math.round((now() - startedAt) * MICROSECONDS));
    }
};

const measureChange = async (leader: string, index: number) => {
    const target = names[index % names.length] as string;
    const path = `/v1/regions/region-${index}`;
    const startedAt = now();
    const { statusCode } = await sendOperatorRequest(cluster, target, "PUT", path, { body: { spec: { links: [] } } });
    const committedAt = now();
    if (statusCode !== 201) {
        throw new Error(`Change ${index} was answered ${statusCode}.`);
    }
    (target === leader ? commitAtLeader : commitAtFollower)
        .recordValue(Math.round((committedAt - startedAt) * MICROSECONDS));
    while (!await isInForce(leader, path)) {
        await clock.sleep(POLL_MS);
    }
    inForce.recordValue(Math.round((now() - startedAt) * MICROSECONDS));
};

try {
    await Promise.all(names.map(cluster.start));
    const entries = Array.from({ length: entryCount }, (_, index) =>
        startSimulatedEntry({
            clock,
            clusterId: cluster.clusterId,
            name: `entry-${index + 1}`,
            peerPort: 10_000 + 10 * index,
            instances: cluster.instances,
        }));
    const leader = await settle();
    measureFsync();
    await measureLocalRead(leader);
    for (let index = 0; index < changes; index += 1) {
        await measureChange(leader, index);
        await clock.sleep(PAUSE_MS);
    }
    process.stdout.write(`${replicas} replicas, ${entryCount} entries\n`);
    print("fsync of this disk", fsync);
    print("read of one instance alone", localRead);
    print("commit, sent to the leader", commitAtLeader);
    print("commit, sent to a follower", commitAtFollower);
    print("in force, from the request on", inForce);
    await Promise.all(entries.map(entry => entry.stop()));
}
finally {
    await cluster.stop();
    rmSync(folder, { recursive: true, force: true });
}
