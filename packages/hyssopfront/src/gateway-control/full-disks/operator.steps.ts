/**
 * Operator of a group of catalog replicas, who changes one item and checks that all instances hold it.
 */
import { openLogStorage } from "@hyssopfront/coordination";
import assert from "node:assert/strict";
import { CommandKind } from "../../catalog/catalog-state.js";
import { type Item, ItemKind } from "../../catalog/items.js";
import { GATEWAY_CLUSTER_ID } from "../messages.js";
import { type CatalogCluster, clock, type Instance } from "./catalog-cluster.steps.js";

/** Time within which operators expect the acknowledgement of a change, in milliseconds. */
export const ACKNOWLEDGEMENT_MS = 4_000;
/** Deadline of one call, in milliseconds. */
const CALL_MS = 2_000;
const READY_TIMEOUT_MS = 10_000;
const CHANGE_INTERVAL_MS = 20;
/** Rises across all operators, so that each of their changes takes effect. */
let lastVersion = 0;
/** Name of the item that is changed. */
export const ITEM_NAME = "limits";

/** Waits until a condition holds, and fails with the message after the given time. */
export const waitFor = async (condition: () => boolean, message: () => string, milliseconds = READY_TIMEOUT_MS) => {
    const endsAt = clock.monotonicMilliseconds() + milliseconds;
    while (!condition()) {
        assert.ok(clock.monotonicMilliseconds() < endsAt, message());
        await clock.sleep(10);
    }
};

/** Text that the files contain for a version of the item. */
const getMarker = (version: number) => `version ${version};`;

const createItem = (version: number, padding: string): Item => ({
    kind: ItemKind.Limits,
    name: ITEM_NAME,
    version,
    value: {
        kind: ItemKind.Limits,
        limits: {
            maximumHeaderBytes: version,
            maximumBodyBytes: 1,
            headerTimeoutMilliseconds: 1,
            idleTimeoutMilliseconds: 1,
        },
    },
    source: `${getMarker(version)}${padding}`,
});

/** Describes the state of all instances for a failure. */
export const describe = ({ instances }: CatalogCluster) =>
    [...instances.values()].map(({ name, catalog, disk, lines }) => {
        const { role, term, leader, lastIndex, commitIndex, members } = catalog.replica()?.status() ?? {};
        const names = members?.map(member => `${member.name}${member.isVoter ? "" : " (learner)"}`).join();
        const events = lines.slice(-4).map(line => JSON.stringify(line)).join();
        return `\n${name} ${role} ${term} ${leader} ${lastIndex} ${commitIndex} [${names}] ${disk.failures()} ${events}`;
    }).join("");

/** Returns the leader as soon as there is one. */
export const waitForLeader = async (cluster: CatalogCluster) => {
    await waitFor(() => cluster.leader() !== undefined, () => `There is no leader: ${describe(cluster)}`);
    return cluster.leader() as Instance;
};

/** Whether the files of a stopped instance contain a version of the item. */
const hasStored = async ({ folder, name }: Instance, version: number) => {
    const storage = await openLogStorage({
        folder,
        clusterId: GATEWAY_CLUSTER_ID,
        replicaId: name,
        isFolderPrivate: true,
    });
    const entries = await storage.read(storage.firstIndex, storage.lastIndex + 1);
    const payloads = [...entries, ...storage.snapshot === undefined ? [] : [storage.snapshot]].map(part =>
        part.payload
    );
    await storage.close();
    return payloads.some(payload => Buffer.from(payload).includes(getMarker(version)));
};

/** Creates the operator of a group. `padding` adds to the size of the item. */
export const createOperator = (cluster: CatalogCluster, padding = "x".repeat(200)) => {
    const { instances, setCut } = cluster;
    let acknowledgedVersion = 0;

    const submit = async ({ catalog }: Instance, version: number, milliseconds: number) => {
        const items = [createItem(version, padding)];
        const { error } = await catalog.submit({ kind: CommandKind.Change, items }, milliseconds);
        assert.equal(error, undefined);
        acknowledgedVersion = Math.max(acknowledgedVersion, version);
    };

    /** Changes the item, at one instance after another until it is acknowledged. */
    const change = async (milliseconds = ACKNOWLEDGEMENT_MS) => {
        lastVersion += 1;
        const version = lastVersion;
        const endsAt = clock.monotonicMilliseconds() + milliseconds;
        const startedAt = clock.monotonicMilliseconds();
        const failures: string[] = [];
        for (let attempt = version;; attempt += 1) {
            const running = [...instances.values()];
            const instance = running[attempt % running.length] as Instance;
            const remaining = endsAt - clock.monotonicMilliseconds();
            const attempts = failures.slice(-3).join(" ");
            assert.ok(remaining > 0, `Change ${version} was not acknowledged: ${attempts} ${describe(cluster)}`);
            try {
                await submit(instance, version, Math.min(CALL_MS, remaining));
                return {
                    milliseconds: clock.monotonicMilliseconds() - startedAt,
                    description: `${failures.join(" ")} acknowledged by ${instance.name}${describe(cluster)}`,
                };
            }
            catch (error) {
                const seconds = Math.round(clock.monotonicMilliseconds() - startedAt) / 1_000;
                failures.push(`${instance.name} after ${seconds} s: ${String((error as Error).cause)}`);
            }
        }
    };

    /** Changes the item all the time until the signal aborts. Returns the change that took longest. */
    const changeUntil = async (signal: AbortSignal) => {
        let slowest = { milliseconds: 0, description: "" };
        while (!signal.aborted) {
            const latest = await change(READY_TIMEOUT_MS);
            slowest = latest.milliseconds > slowest.milliseconds ? latest : slowest;
            await clock.sleep(CHANGE_INTERVAL_MS);
        }
        return slowest;
    };

    /** Checks that all instances read the last acknowledged change. */
    const checkReads = async () => {
        await Promise.all([...instances.values()].map(async ({ name, catalog }) => {
            await catalog.catchUp(ACKNOWLEDGEMENT_MS);
            const version = catalog.find(ItemKind.Limits, ITEM_NAME)?.version ?? 0;
            assert.ok(version >= acknowledgedVersion, `${name} reads version ${version}, not ${acknowledgedVersion}.`);
        }));
    };

    /** Checks that a change is acknowledged by the instance with as few others as make a majority. */
    const checkFullReplica = async (instance: Instance) => {
        const others = [...instances.values()].filter(other => other !== instance);
        const spare = others.slice(0, Math.ceil(others.length / 2)).map(other => other.name);
        spare.forEach(name => setCut(name, true));
        lastVersion += 1;
        // Until another leader is elected, the instance may call the former one until the deadline of the call.
        await submit(instance, lastVersion, 2 * ACKNOWLEDGEMENT_MS).finally(() =>
            spare.forEach(name => setCut(name, false))
        ).catch((error: unknown) => {
            throw new Error(`${instance.name} without ${spare.join()}: ${describe(cluster)}`, { cause: error });
        });
        await waitForLeader(cluster);
    };

    /** Stops all instances, and checks that each has the last acknowledged change in its files and leaves none open. */
    const checkFiles = async () => {
        await checkReads();
        const stopped = [...instances.values()];
        await Promise.all(stopped.map(instance => instance.stop()));
        await Promise.all(stopped.map(async instance => {
            assert.equal(instance.disk.openFiles(), 0, `${instance.name} leaves files open.`);
            assert.ok(await hasStored(instance, acknowledgedVersion), `${instance.name} lacks the last change.`);
        }));
    };

    return { change, changeUntil, checkReads, checkFullReplica, checkFiles };
};

/** Operator of a group. */
export type Operator = ReturnType<typeof createOperator>;
