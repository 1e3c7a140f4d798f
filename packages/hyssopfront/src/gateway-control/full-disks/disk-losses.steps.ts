import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { rmSync } from "node:fs";
import { type CatalogCluster, clock, type Instance } from "./catalog-cluster.steps.js";
import { createCluster, findInstance, waitForVoters } from "./groups.steps.js";
import { type Operator, waitForLeader } from "./operator.steps.js";

/** Time within which the first change must be acknowledged at all, in milliseconds; traffic starts then. */
const FIRST_CHANGE_MS = 10_000;
/** Time for which an added instance runs before the group is cut, in milliseconds. */
const JOINING_MS = 1_000;

let cluster: CatalogCluster;
let operator: Operator;
let electedAt: number;
let acknowledgedAt: number;
let silent: Instance[];

const startInstances = (count: number, voterCount: number, hanging: readonly string[] = []) => {
    ({ cluster, operator } = createCluster(voterCount));
    silent = [];
    Array.from({ length: count }, (_, index) => `control-${index + 1}`).forEach(name => cluster.start(name, true));
    hanging.forEach(name => cluster.instances.get(name)?.disk.stall());
};

Given("{int} instances that start for the first time", (count: number) => startInstances(count, count));
Given(
    "{int} instances of a group for {int} that start for the first time",
    (count: number, voterCount: number) => startInstances(count, voterCount),
);
Given(
    "{int} instances that start for the first time, and a fifth one whose disk hangs",
    (count: number) => startInstances(count + 1, count + 1, [`control-${count + 1}`]),
);

When("the first change is acknowledged", async () => {
    const acknowledged = operator.change(FIRST_CHANGE_MS).then(() => {
        acknowledgedAt = clock.monotonicMilliseconds();
    });
    await waitForLeader(cluster);
    electedAt = clock.monotonicMilliseconds();
    await acknowledged;
});
const addInstance = () => cluster.start(`control-${cluster.instances.size + 1}`, false);
Given("all of them are voters", async () => {
    await waitForVoters(cluster, names => names.length === cluster.instances.size);
});
When("a {word} falls silent for good and an instance with an empty disk is added", async (role: string) => {
    await operator.change();
    const instance = await findInstance(cluster, role);
    cluster.silence(instance.name);
    addInstance();
    silent.push(instance);
});
When(
    "an instance with an empty disk is added and a {word} is stopped {int} ms later",
    async (role: string, milliseconds: number) => {
        const instance = await findInstance(cluster, role);
        addInstance();
        await clock.sleep(milliseconds);
        await instance.leave();
    },
);
When(
    /^an instance with an empty disk is added, and a (\w+) is stopped while (.+) are cut off for (\d+) ms$/,
    async (role: string, cut: string, milliseconds: string) => {
        const stopped = await findInstance(cluster, role);
        const others = [...cluster.instances.values()].filter(instance => instance !== stopped);
        const added = addInstance();
        await clock.sleep(JOINING_MS);
        const isolated = cut === "two voters" ? others.slice(-2) : [...others.slice(-1), added];
        isolated.forEach(({ name }) => cluster.setCut(name, true));
        await stopped.leave();
        await clock.sleep(Number(milliseconds));
        isolated.forEach(({ name }) => cluster.setCut(name, false));
    },
);
When("{int} ms pass", (milliseconds: number) => clock.sleep(milliseconds));

const loseDisks = async () => {
    const leader = await waitForLeader(cluster);
    const { matchIndex, members } = leader.catalog.replica()!.status();
    const [holder] = members.filter(({ name, isVoter }) => isVoter && name !== leader.name)
        .sort((a, b) => (matchIndex[b.name] ?? 0) - (matchIndex[a.name] ?? 0));
    const instances = [...cluster.instances.values()];
    await Promise.all(instances.map(instance => instance.stop()));
    instances.filter(({ name }) => name === leader.name || name === holder?.name)
        .forEach(({ folder }) => rmSync(folder, { recursive: true }));
    instances.filter(instance => !silent.includes(instance)).forEach(({ name }) => cluster.start(name, false));
};
When("the leader and the voter with the most entries lose their disks while all instances are killed", loseDisks);
When(
    "{int} ms later the leader and the voter with the most entries lose their disks while all instances are killed",
    async (milliseconds: number) => {
        // It need not be acknowledged, as it may wait for the silent leader.
        operator.change().catch(() => undefined);
        await clock.sleep(milliseconds);
        await loseDisks();
    },
);

Then("the change is read and further ones are acknowledged", async () => {
    await waitForLeader(cluster);
    await operator.checkReads();
    await operator.change();
});
const checkAcknowledged = (seconds: number) => {
    const milliseconds = acknowledgedAt - electedAt;
    assert.ok(milliseconds <= seconds * 1_000, `It was acknowledged ${milliseconds} ms after the first election.`);
};
Then("it was acknowledged within {int} s of the first election", checkAcknowledged);
Then("changes were acknowledged within {int} s of the first election", checkAcknowledged);
Then("changes were acknowledged within {int} s after another leader was elected", async (seconds: number) => {
    await (await waitForLeader(cluster)).catalog.replica()?.transferLeadership();
    await operator.change(seconds * 1_000);
});
