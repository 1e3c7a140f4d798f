import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { CommandKind } from "../../catalog/catalog-state.js";
import { CatalogUnavailableError } from "../catalog-group.js";
import { type CatalogCluster, clock } from "./catalog-cluster.steps.js";
import { startCluster } from "./groups.steps.js";
import { waitForLeader } from "./operator.steps.js";

let cluster: CatalogCluster;
let outcome: unknown;
let tookMilliseconds: number;

Given(
    "the disks of {int} followers in a group of {int} instances are stalled",
    async (stalled: number, count: number) => {
        ({ cluster } = await startCluster(count));
        const leader = await waitForLeader(cluster);
        [...cluster.instances.values()].filter(instance => instance !== leader).slice(0, stalled).forEach(({ disk }) =>
            disk.stall()
        );
    },
);
When("a change with a deadline of {int} ms is submitted at the leader", async (milliseconds: number) => {
    const { catalog } = await waitForLeader(cluster);
    const startedAt = clock.monotonicMilliseconds();
    const command = { kind: CommandKind.Evacuate, availabilityZone: "z1", isActive: true } as const;
    outcome = await Promise.race([
        catalog.submit(command, milliseconds).then(() => undefined, (error: unknown) => error),
        clock.sleep(10 * milliseconds),
    ]);
    tookMilliseconds = clock.monotonicMilliseconds() - startedAt;
});
Then("it fails after at most {int} ms", (milliseconds: number) => {
    assert.ok(tookMilliseconds <= milliseconds, `It took ${Math.round(tookMilliseconds)} ms.`);
    assert.ok(outcome instanceof CatalogUnavailableError, String(outcome));
});
