import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { defineCommonSteps } from "../common-steps.js";
import { LoadKind } from "../load.js";
import { waitUntil } from "../scenario-world.js";

const common = defineCommonSteps();

const REQUESTS_PER_SECOND = 10;

Given("a load of run-once requests that are each sent to 3 entries at once", async () => {
    common.scenario.startLoad({ kinds: [LoadKind.RunOnce], copies: 3, requestsPerSecond: 30 });
    await common.waitForCompletions(20);
});

When("{word} is killed", (name: string) => common.scenario.deployment.signal(name, "SIGKILL"));

Then("some responses were replayed", () => {
    assert.ok(common.history.attempts.some(({ outcome }) => outcome === "replayed"));
});

When("{word} is cut off from the other instances", (name: string) => common.scenario.cutOff(name));

Then("{word} holds no view lease", (name: string) => common.scenario.waitForViewLease(name, false));

Then("{word} serves idempotent requests and rejects run-once requests as not-run", async (name: string) => {
    const idempotent = common.scenario.startLoadAt(name, LoadKind.Idempotent, REQUESTS_PER_SECOND);
    const runOnce = common.scenario.startLoadAt(name, LoadKind.RunOnce, REQUESTS_PER_SECOND);
    await waitUntil("completed idempotent requests", () => idempotent.completed >= 20);
    await waitUntil("rejected run-once requests", () => runOnce.attempts.length >= 10);
    await Promise.all([idempotent.stop(), runOnce.stop()]);
    const unexpected = runOnce.attempts.filter(({ outcome }) => outcome !== "not-run");
    assert.deepEqual(
        unexpected.slice(0, 3),
        [],
        `${unexpected.length} run-once requests were not rejected as not-run.`,
    );
});

When("the connections are healed", () => common.scenario.deployment.heal());

Then("{word} runs run-once requests again", async (name: string) => {
    const load = common.scenario.startLoadAt(name, LoadKind.RunOnce, REQUESTS_PER_SECOND);
    await waitUntil("completed run-once requests", () => load.completed >= 10);
    await load.stop();
});
