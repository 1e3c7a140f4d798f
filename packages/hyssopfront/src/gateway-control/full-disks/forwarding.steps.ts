import { Given, Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { CommandKind } from "../../catalog/catalog-state.js";
import type { CatalogCluster, Instance } from "./catalog-cluster.steps.js";
import { closeStorage, findInstance, startCluster } from "./groups.steps.js";
import { waitForLeader } from "./operator.steps.js";

let cluster: CatalogCluster;
let instance: Instance;

Given(
    "the disk of the {word} in a group of {int} instances is full",
    async (role: string, count: number) => {
        ({ cluster } = await startCluster(count));
        instance = await findInstance(cluster, role);
        await closeStorage(cluster, instance);
    },
);
Then("a change at it is acknowledged within {int} ms once another instance leads", async (milliseconds: number) => {
    await waitForLeader(cluster);
    const command = { kind: CommandKind.Evacuate, availabilityZone: "z1", isActive: true } as const;
    const { error } = await instance.catalog.submit(command, milliseconds);
    assert.equal(error, undefined);
});
