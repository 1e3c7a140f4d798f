import { Then, When } from "@cucumber/cucumber";
import { createApiClient } from "hyssopfront/command-line/http-client.ts";
import { applyResource, findCondition, readResource, resourcePath } from "hyssopfront/command-line/resource-client.ts";
import { ConditionStatus, ConditionType } from "hyssopfront/operator-api/messages.ts";
import { ResourceKind } from "hyssopfront/resources/resource.ts";
import assert from "node:assert/strict";
import type { BackendServer } from "../../backend-server/backend-server.js";
import { LEAVING_GRACE_MS } from "../../checker/check-requests.js";
import { getRegion } from "../../deployment/plan.js";
import { defineCommonSteps } from "../common-steps.js";
import { waitUntil } from "../scenario-world.js";

const DRAIN_NAME = "planned";
/** Time after the grace period during which late requests would be seen. */
const OBSERVATION_MS = 2_000;

const common = defineCommonSteps();
let drainedServers: readonly BackendServer[];
let drainedAt: number;

const client = () => createApiClient({ servers: [...common.scenario.deployment.operatorAddresses.values()] });

const serversIn = (kind: string, location: string) => {
    const { plan, backendServers } = common.scenario.deployment;
    return backendServers.filter(({ availabilityZone }) =>
        (kind === "region" ? getRegion(plan, availabilityZone) : availabilityZone) === location
    );
};

const isDrained = async () => {
    const drain = await readResource(client(), ResourceKind.Drain, DRAIN_NAME);
    return findCondition(drain, ConditionType.Drained)?.status === ConditionStatus.True;
};

When("a drain of the {word} {word} with a pace of {int} s completes", async (kind, location, paceSeconds: number) => {
    drainedServers = serversIn(kind, location);
    assert.ok(drainedServers.length > 0);
    const spec = { target: { [kind]: location }, paceSeconds };
    await applyResource(client(), { kind: ResourceKind.Drain, name: DRAIN_NAME, spec });
    await waitUntil("the drain to complete", isDrained);
    drainedAt = performance.now();
});

When("the drained backend servers get no requests after the grace period", async () => {
    const end = drainedAt + LEAVING_GRACE_MS + OBSERVATION_MS;
    await waitUntil("the end of the observation time", () => performance.now() > end);
    const lateRequests = drainedServers.flatMap(({ name, records }) =>
        records.filter(({ startedAt }) => startedAt > drainedAt + LEAVING_GRACE_MS).map(({ id }) => `${id} at ${name}`)
    );
    assert.deepEqual(lateRequests, []);
});

When("the drain is deleted", async () => {
    const drain = await readResource(client(), ResourceKind.Drain, DRAIN_NAME);
    await client().sendChecked({
        method: "DELETE",
        path: resourcePath(ResourceKind.Drain, DRAIN_NAME),
        headers: { "if-match": `"${drain?.revision}"` },
    });
});

Then("every drained backend server runs requests again", async () => {
    const services = new Set(common.scenario.loads.flatMap(({ attempts }) => attempts.map(({ service }) => service)));
    const deletedAt = performance.now();
    const usedServers = drainedServers.filter(({ service }) => services.has(service));
    assert.ok(usedServers.length > 0);
    const describe = () =>
        usedServers.map(({ name, records, announcer }) => {
            const count = records.filter(({ startedAt }) => startedAt > deletedAt).length;
            return `${name} ${count}${announcer.isWithdrawn ? ", withdrawn" : ""}`;
        }).join("; ");
    await waitUntil(
        () => `new requests at every drained backend server: ${describe()}`,
        () => usedServers.every(({ records }) => records.some(({ startedAt }) => startedAt > deletedAt)),
    );
});
