import { When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { defineCommonSteps } from "../common-steps.js";
import { readEntryStatus } from "../operators.js";
import { waitUntil } from "../scenario-world.js";

const common = defineCommonSteps();

const readStatus = (name: string) => readEntryStatus(common.scenario.deployment.adminUrls.get(name)!);

When("all entries are stopped gracefully and started again, one after another", async () => {
    const { deployment } = common.scenario;
    for (const { name } of deployment.plan.entries) {
        assert.equal(await deployment.signal(name, "SIGTERM"), 0);
        await deployment.start(name);
        await waitUntil(`a view lease of ${name}`, async () => (await readStatus(name))?.holdsViewLease === true);
    }
});
