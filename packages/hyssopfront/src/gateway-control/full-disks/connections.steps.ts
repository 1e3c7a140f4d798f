import { Given, Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { clock, type Instance } from "./catalog-cluster.steps.js";
import { closeStorage, startCluster, waitForVoters } from "./groups.steps.js";
import { waitFor, waitForLeader } from "./operator.steps.js";

let fewestContacts: readonly string[];

Given(
    "the disk of a restarted follower in a group of {int} instances with 3 seeds is full for {int} ms",
    async (count: number, milliseconds: number) => {
        const { cluster } = await startCluster(count);
        // Until its restart, an instance also remembers the others by their requests to join.
        const leader = await waitForLeader(cluster);
        const follower = [...cluster.instances.values()].find(({ name }) => name !== leader.name) as Instance;
        await follower.stop();
        const instance = cluster.start(follower.name, false);
        await waitForVoters(cluster, names => names.length === count);
        const contacts = () => [...new Set(instance.contacts())];
        await waitFor(() => contacts().length === count - 1, () => `It knows only ${contacts().join()}.`);
        await closeStorage(cluster, instance);
        const endsAt = clock.monotonicMilliseconds() + milliseconds;
        fewestContacts = contacts();
        while (clock.monotonicMilliseconds() < endsAt) {
            await clock.sleep(20);
            fewestContacts = contacts().length < fewestContacts.length ? contacts() : fewestContacts;
        }
    },
);
Then("it stayed connected to all {int} others", (count: number) => {
    assert.equal(fewestContacts.length, count, `It was connected only to ${fewestContacts.join()}.`);
});
