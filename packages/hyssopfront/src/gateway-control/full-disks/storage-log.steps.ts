import { Given, Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { clock, type Instance } from "./catalog-cluster.steps.js";
import { closeStorage, findInstance, startCluster } from "./groups.steps.js";
import { waitFor } from "./operator.steps.js";

let instance: Instance;
let listenersBefore: number;

const findLines = (event: string) => instance.lines.filter(line => line.event === event).map(line => line.fields);

Given("the disk of an instance was full for {int} ms", async (milliseconds: number) => {
    const { cluster } = await startCluster(3);
    instance = await findInstance(cluster, "follower");
    listenersBefore = instance.countAbortListeners();
    await closeStorage(cluster, instance);
    await clock.sleep(milliseconds);
    instance.disk.free();
    await waitFor(() => findLines("storage opened").length === 2, () => "The storage was not opened again.");
});
Then(
    "each line about the failure has the step, the path, the code ENOSPC and the time since the first failure",
    () => {
        const lines = findLines("storage failed");
        assert.ok(lines.length > 1);
        lines.forEach(({ step, path, code, closedMilliseconds }) => {
            assert.equal(typeof step, "string");
            assert.ok(String(path).startsWith(instance.folder), `The path is ${String(path)}.`);
            assert.equal(code, "ENOSPC");
            assert.equal(typeof closedMilliseconds, "number");
        });
    },
);
Then("the line about the opening has the number of failures and the time for which the storage was closed", () => {
    const { failures, closedMilliseconds } = findLines("storage opened")[1] ?? {};
    assert.equal(failures, findLines("storage failed").length);
    assert.ok(Number(closedMilliseconds) >= 1_000, `It was closed for ${String(closedMilliseconds)} ms.`);
});
Then("as many listeners wait for the stop of the instance as before", () => {
    assert.equal(instance.countAbortListeners(), listenersBefore);
});
