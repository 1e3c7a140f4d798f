import { Then, When } from "@cucumber/cucumber";
import { selectGroup } from "hyssopfront/run-once/run-once-client.ts";
import assert from "node:assert/strict";
import { Flow } from "../../fault-proxy/fault-proxy.js";
import { defineCommonSteps } from "../common-steps.js";
import { LoadKind, summarizeResponses } from "../load.js";
import { sendChange } from "../operators.js";
import { waitUntil } from "../scenario-world.js";

const common = defineCommonSteps();

const REQUESTS_PER_SECOND = 10;

When("{word} is cut off from the other regions", (region: string) => {
    common.scenario.deployment.partition(
        (from, to) => from.region !== to.region && (from.region === region || to.region === region),
        Flow.Held,
    );
});

When("the connections are healed", () => common.scenario.deployment.heal());

When(
    "control-1, control-2 and control-3 are killed",
    () =>
        Promise.all(
            ["control-1", "control-2", "control-3"].map(name => common.scenario.deployment.signal(name, "SIGKILL")),
        ),
);

Then("{word} holds no view lease", (name: string) => common.scenario.waitForViewLease(name, false));
Then("{word} holds a view lease", (name: string) => common.scenario.waitForViewLease(name, true));

Then("{word} serves idempotent requests", async (name: string) => {
    const load = common.scenario.startLoadAt(name, LoadKind.Idempotent, REQUESTS_PER_SECOND);
    const describe = () => `completed idempotent requests; the responses were ${summarizeResponses(load.attempts)}`;
    await waitUntil(describe, () => load.completed >= 20);
    await load.stop();
});

Then("{word} rejects run-once requests of groups without a majority as not-run", async (name: string) => {
    const { plan, getProcess } = common.scenario.deployment;
    const groups = plan.runOnceGroups.map(group => group.name);
    const hasMajority = new Map(plan.runOnceGroups.map(({ name: group, voters }) => [
        group,
        2 * voters.filter(voter => getProcess(voter)?.isRunning === true).length > voters.length,
    ]));
    assert.ok([...hasMajority.values()].includes(false), "Every run-once group has a majority.");
    const load = common.scenario.startLoadAt(name, LoadKind.RunOnce, REQUESTS_PER_SECOND);
    const minorityAttempts = () =>
        load.attempts.filter(({ key }) => hasMajority.get(selectGroup(groups, key!)) === false);
    await waitUntil("rejected run-once requests", () => minorityAttempts().length >= 10);
    await load.stop();
    const unexpected = minorityAttempts().filter(({ outcome }) => outcome !== "not-run").map(({ key, outcome }) => ({
        key,
        outcome,
    }));
    assert.deepEqual(unexpected, [], `${unexpected.length} run-once requests were not rejected as not-run.`);
});

Then("{word} accepts no change", async (instance: string) => {
    const { deployment } = common.scenario;
    // Recorded separately, because without a quorum the change cannot be read back for the checker.
    const records = { changes: [], reads: [] };
    const change = await sendChange(records, deployment.operatorAddresses.get(instance)!, {
        requestId: "without-quorum",
        object: "regions/without-quorum",
        expectedRevision: 0,
        spec: { links: [] },
        instance,
    });
    assert.ok(change.status === undefined || change.status >= 500, `The change got the status ${change.status}.`);
});
