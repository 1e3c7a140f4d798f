import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { CommandKind } from "../../catalog/catalog-state.js";
import { type Item, itemKey, ItemKind } from "../../catalog/items.js";
import { type CatalogCluster, clock, type Instance } from "./catalog-cluster.steps.js";
import { closeStorage, findInstance, startCluster } from "./groups.steps.js";
import { ITEM_NAME, type Operator, waitFor, waitForLeader } from "./operator.steps.js";

let cluster: CatalogCluster;
let operator: Operator;
let instance: Instance;
let versions: number[];

const getVersion = () => instance.catalog.find(ItemKind.Limits, ITEM_NAME)?.version ?? 0;
/** Returns the items that were announced although the same or a newer version had been. */
const findRepeated = (items: readonly Item[]) => {
    const newest = new Map<string, number>();
    return items.filter(({ kind, name, version }) => {
        const key = itemKey(kind, name);
        const isRepeated = version <= (newest.get(key) ?? -Infinity);
        newest.set(key, Math.max(version, newest.get(key) ?? -Infinity));
        return isRepeated;
    });
};

Given(
    "a group of {int} instances in which an item was changed {int} times and a zone was evacuated and taken back",
    async (count: number, changes: number) => {
        ({ cluster, operator } = await startCluster(count));
        for (let number = 0; number < changes; number += 1) {
            await operator.change();
        }
        const { catalog } = await waitForLeader(cluster);
        for (const isActive of [true, false]) {
            await catalog.submit({ kind: CommandKind.Evacuate, availabilityZone: "z1", isActive }, 2_000);
        }
    },
);
When("the disk of a follower is full for {int} ms", async (milliseconds: number) => {
    await operator.checkReads();
    instance = await findInstance(cluster, "follower");
    await closeStorage(cluster, instance);
    versions = [];
    const freedAt = clock.monotonicMilliseconds() + milliseconds;
    while (clock.monotonicMilliseconds() < freedAt || instance.catalog.replica() === undefined) {
        versions.push(getVersion());
        await clock.sleep(1);
        if (clock.monotonicMilliseconds() >= freedAt) {
            instance.disk.free();
        }
    }
    const reading = operator.checkReads();
    const isRead = reading.then(() => true);
    while (!await Promise.race([isRead, clock.sleep(1).then(() => false)])) {
        versions.push(getVersion());
    }
});
Then("it never had an older version of the item", () => {
    const oldest = Math.min(...versions);
    assert.ok(oldest >= 40, `It had version ${oldest}.`);
});
Then("it announced no version that is older than one that it had announced", () => {
    const repeated = findRepeated(instance.observed);
    assert.equal(repeated.length, 0, `${repeated.length} of ${instance.observed.length} items were announced again.`);
});
Then("it announces the next change", async () => {
    await operator.change();
    await operator.checkReads();
    const version = getVersion();
    await waitFor(() => instance.observed.some(item => item.version === version), () => "It was not announced.");
});
