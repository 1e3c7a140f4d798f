/**
 * Measures through the operator API of control processes how long a change takes to be committed and to be in force.
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

const MICROSECONDS_PER_MILLISECOND = 1_000;
const POLL_INTERVAL_MS = 2;
const PAUSE_BETWEEN_CHANGES_MS = 20;
const IN_FORCE_TIMEOUT_MS = 60_000;

const [replicas = 3, entryCount = 7, changes = 300] = process.argv.slice(2).map(Number);
const clock = createSystemClock();
const now = () => clock.monotonicMilliseconds();
const folder = mkdtempSync(join(tmpdir(), "measure-control-"));
const createHistogram = () => build({ lowestDiscernibleValue: 1, highestTrackableValue: 120_000_000 });
const commitAtLeader = createHistogram();
const commitAtFollower = createHistogram();
const inForce = createHistogram();
const fsync = createHistogram();
/** Reads that one instance serves alone. They show how much of the other figures HTTP and the machine account for. */
const localRead = createHistogram();

const printPercentiles = (name: string, histogram: ReturnType<typeof createHistogram>) => {
    const [median, high, highest] = [50, 99, 100]
        .map(percentile => (histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND).toFixed(1));
    const line = `${name}: p50 ${median} ms, p99 ${high} ms, maximum ${highest} ms, ${histogram.totalCount} samples`;
    process.stdout.write(`${line}\n`);
};

const measureFsync = () => {
    const file = openSync(join(folder, "fsync"), "w");
    for (let count = 0; count < 100; count += 1) {
        const startedAt = now();
        writeSync(file, Buffer.alloc(300));
        fsyncSync(file);
        fsync.recordValue(Math.round((now() - startedAt) * MICROSECONDS_PER_MILLISECOND));
    }
    closeSync(file);
};

type Status = { inForce?: { leader: string; revision: number; configurationRevision: number } };

const cluster = await prepareControlCluster(replicas, folder);
const names = cluster.instances.map(instance => instance.name);
const readStatus = async (name: string) =>
    (await sendOperatorRequest(cluster, name, "GET", "/v1/status")).body as Status;

const waitUntilInForce = async () => {
    const deadline = now() + IN_FORCE_TIMEOUT_MS;
    for (;;) {
        const { inForce: status } = await readStatus(names[0] as string);
        if (status !== undefined && status.revision >= entryCount && status.revision === status.configurationRevision) {
            return status.leader;
        }
        if (now() > deadline) {
            throw new Error(
                `The configuration did not come into force in time: ${JSON.stringify(status)}.`,
            );
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
        localRead.recordValue(Math.round((now() - startedAt) * MICROSECONDS_PER_MILLISECOND));
    }
};

const measureChange = async (leader: string, index: number) => {
    const target = names[index % names.length] as string;
    const path = `/v1/regions/region-${index}`;
    const startedAt = now();
    const { statusCode } = await sendOperatorRequest(cluster, target, "PUT", path, { body: { spec: { links: [] } } });
    const committedAt = now();
    if (statusCode !== 201) {
        throw new Error(`Change ${index} got the status ${statusCode}.`);
    }
    (target === leader ? commitAtLeader : commitAtFollower)
        .recordValue(Math.round((committedAt - startedAt) * MICROSECONDS_PER_MILLISECOND));
    while (!await isInForce(leader, path)) {
        await clock.sleep(POLL_INTERVAL_MS);
    }
    inForce.recordValue(Math.round((now() - startedAt) * MICROSECONDS_PER_MILLISECOND));
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
    const leader = await waitUntilInForce();
    measureFsync();
    await measureLocalRead(leader);
    for (let index = 0; index < changes; index += 1) {
        await measureChange(leader, index);
        await clock.sleep(PAUSE_BETWEEN_CHANGES_MS);
    }
    process.stdout.write(`${replicas} replicas, ${entryCount} entries\n`);
    printPercentiles("fsync of this disk", fsync);
    printPercentiles("read of one instance alone", localRead);
    printPercentiles("commit, sent to the leader", commitAtLeader);
    printPercentiles("commit, sent to a follower", commitAtFollower);
    printPercentiles("in force, from the request on", inForce);
    await Promise.all(entries.map(entry => entry.stop()));
}
finally {
    await cluster.stop();
    rmSync(folder, { recursive: true, force: true });
}
