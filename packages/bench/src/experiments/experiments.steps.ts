import { setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { COOPERATIVE_PLAN, type DeploymentPlan } from "../deployment/plan.js";
import { getExitCode, type Report } from "../report/report.js";
import { runEntryExperiment } from "./entry.js";
import { findDeadProcesses, withDeployment } from "./experiment.js";
import { runInForceExperiment } from "./in-force.js";
import { runNodesExperiment } from "./nodes.js";
import { runRunOnceExperiment } from "./run-once.js";

/** One control instance and two entries. */
const SMALL_PLAN: DeploymentPlan = {
    ...COOPERATIVE_PLAN,
    name: "small",
    entries: COOPERATIVE_PLAN.entries.slice(0, 2),
    controlInstances: COOPERATIVE_PLAN.controlInstances.slice(0, 1),
    runOnceGroups: [],
};

setDefaultTimeout(120_000);

let report: Report;
let deadProcesses: readonly string[];

const figure = (name: string) => report.figures.find(one => one.name === name)?.value;

When("the entry experiment runs for {int} s", async (seconds: number) => {
    report = await runEntryExperiment({ seconds, repeats: 1, warmUpSeconds: 0.5 });
});
When(
    "the in-force experiment runs with {int} changes and {int} failure of each kind",
    async (changes: number, repeats: number) => {
        report = await runInForceExperiment({ plan: COOPERATIVE_PLAN, changes, repeats });
    },
);
When("the run-once experiment runs with {int} requests of each class", async (requests: number) => {
    report = await runRunOnceExperiment({ plan: COOPERATIVE_PLAN, requests });
});
When("the nodes experiment runs for {int} s", async (seconds: number) => {
    report = await runNodesExperiment({ plan: COOPERATIVE_PLAN, seconds });
});
When("an entry is killed while an experiment runs", async () => {
    deadProcesses = await withDeployment(SMALL_PLAN, async deployment => {
        await deployment.signal("entry-2", "SIGKILL");
        return findDeadProcesses(deployment);
    });
});

Then("every figure was measured", () => {
    assert.ok(report.figures.length > 0);
    const missing = report.figures.filter(({ value }) => value === undefined || !Number.isFinite(value));
    assert.deepEqual(missing.map(({ name }) => name), []);
});
Then("no request failed and no process exited unexpectedly", () => {
    assert.equal(figure("failed requests"), 0);
    assert.equal(getExitCode(report), 0, report.deadProcesses.join(", "));
});
Then("there are figures for {int} combinations", (count: number) => {
    const names = new Set(report.figures.map(({ name }) => name.split(":")[0]));
    assert.equal(names.size, count);
});
Then("no process exited unexpectedly", () => assert.equal(getExitCode(report), 0, report.deadProcesses.join(", ")));
Then("that entry is reported as dead", () => assert.deepEqual(deadProcesses, ["entry-2"]));
