import { Given, Then, When } from "@cucumber/cucumber";
import { createApiClient } from "hyssopfront/command-line/http-client.ts";
import { applyResource, waitUntilInForce } from "hyssopfront/command-line/resource-client.ts";
import { ResourceKind } from "hyssopfront/resources/resource.ts";
import assert from "node:assert/strict";
import { Flow } from "../../fault-proxy/fault-proxy.js";
import { defineCommonSteps } from "../common-steps.js";
import { LoadKind } from "../load.js";
import { waitUntil } from "../scenario-world.js";

const IN_FORCE_TIMEOUT_MS = 20_000;

const common = defineCommonSteps();

const carriedRuns = () =>
    common.scenario.deployment.backendServers
        .filter(({ service, availabilityZone }) => service === "stoc" && availabilityZone.startsWith("muntenia"))
        .flatMap(({ records }) => records);

/** Counts the requests of the shift whose callers received the response from the given entry. */
const countCarriedBy = (entry: string) => {
    const ids = new Set(
        common.scenario.loads.flatMap(({ attempts }) => attempts.filter(attempt => attempt.entry === entry))
            .map(({ id }) => id),
    );
    return carriedRuns().filter(({ id }) => ids.has(id)).length;
};

const waitUntilCarried = async (count: number, origin: string, countCarried: () => number) => {
    const wanted = countCarried() + count;
    await waitUntil(`${count} more requests of the shift ${origin}`, () => countCarried() >= wanted);
};

Given(
    "a shift from {word} to {word} with a cap of {int} requests per second",
    async (from: string, to: string, requestsPerSecond: number) => {
        const { deployment, caps } = common.scenario;
        const client = createApiClient({ servers: [...deployment.operatorAddresses.values()] });
        const cap = { requestsPerSecond, bytesPerSecond: 1e8 };
        const spec = { service: "stoc", from: { region: from }, to: { region: to }, percent: 80, cap };
        await applyResource(client, { kind: ResourceKind.Shift, name: "surge", spec });
        await waitUntilInForce(client, ResourceKind.Shift, "surge", IN_FORCE_TIMEOUT_MS);
        const listZones = (name: string) =>
            deployment.plan.regions.find(region => region.name === name)!.availabilityZones;
        caps.push({
            shift: "surge",
            service: "stoc",
            entries: deployment.plan.entries
                .filter(({ availabilityZone }) => listZones(from).includes(availabilityZone))
                .map(({ name }) => name),
            availabilityZones: listZones(to),
            requestsPerSecond,
        });
    },
);

Given("a surge of {int} requests per second at {word}", (requestsPerSecond: number, entry: string) => {
    common.scenario.startLoadAt(entry, LoadKind.Idempotent, requestsPerSecond);
});

When(
    "the shift has carried {int} more requests",
    (count: number) => waitUntilCarried(count, "", () => carriedRuns().length),
);
When(
    "the shift has carried {int} more requests from {word}",
    (count: number, entry: string) => waitUntilCarried(count, `from ${entry}`, () => countCarriedBy(entry)),
);
Then("most requests of the shift came through {word}", (entry: string) => {
    const [carriedByEntry, total] = [countCarriedBy(entry), carriedRuns().length];
    assert.ok(carriedByEntry > total / 2, `${carriedByEntry} of ${total} came through ${entry}.`);
});

When("the control leader is killed", async () => {
    await common.scenario.deployment.signal(await common.scenario.findLeader(), "SIGKILL");
});

When("{word} is cut off from the control instances", (name: string) => {
    common.scenario.deployment.partition(
        (from, to) => from.name === name && to.name?.startsWith("control-") === true,
        Flow.Held,
    );
});
When("the connections are healed", () => common.scenario.deployment.heal());
When("{word} holds no view lease", (name: string) => common.scenario.waitForViewLease(name, false));
When("{word} holds a view lease", (name: string) => common.scenario.waitForViewLease(name, true));
