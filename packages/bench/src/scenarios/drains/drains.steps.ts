import { Then, When } from "@cucumber/cucumber";
import { createApiClient } from "hyssopfront/command-line/http-client.ts";
import { applyResource, findCondition, readResource, resourcePath } from "hyssopfront/command-line/resource-client.ts";
import { ConditionStatus, ConditionType } from "hyssopfront/operator-api/messages.ts";
import { ResourceKind } from "hyssopfront/resources/resource.ts";
import assert from "node:assert/strict";
import type { BackendServer } from "../../backend-server/backend-server.js";
import { LEAVING_GRACE_MS } from "../../checker/check-requests.js";
import { regionOfZone } from "../../deployment/plan.js";
import { defineCommonSteps } from "../common-steps.js";
import { waitUntil } from "../scenario-world.js";

const DRAIN = "planned";
/** Time in which late work would show after the bound. */
const WATCHED_MS = 2_000;

const common = defineCommonSteps();
let drained: readonly BackendServer[];
let drainedAt: number;

const client = () => createApiClient({ servers: [...common.scenario.deployment.operatorAddresses.values()] });

const serversIn = (kind: string, place: string) => {
    const { plan, backendServers } = common.scenario.deployment;
    return backendServers.filter(({ availabilityZone }) =>
        (kind === "region" ? regionOfZone(plan, availabilityZone) : availabilityZone) === place
    );
};

const isDrained = async () => {
    const drain = await readResource(client(), ResourceKind.Drain, DRAIN);
    return findCondition(drain, ConditionType.Drained)?.status === ConditionStatus.True;
};

When("a drain of the {word} {word} with a pace of {int} s is drained", async (kind, place, paceSeconds: number) => {
    drained = serversIn(kind, place);
    assert.ok(drained.length > 0);
    const spec = { target: { [kind]: place }, paceSeconds };
    await applyResource(client(), { kind: ResourceKind.Drain, name: DRAIN, spec });
    await waitUntil("the drain to be drained", isDrained);
    drainedAt = performance.now();
});

When("the drained backend servers have had no work for longer than the bound", async () => {
    const end = drainedAt + LEAVING_GRACE_MS + WATCHED_MS;
    await waitUntil("the end of the watched time", () => performance.now() > end);
    const late = drained.flatMap(({ name, records }) =>
        records.filter(({ startedAt }) => startedAt > drainedAt + LEAVING_GRACE_MS).map(({ id }) => `${id} at ${name}`)
    );
    assert.deepEqual(late, []);
});

When("the drain is deleted", async () => {
    const drain = await readResource(client(), ResourceKind.Drain, DRAIN);
    await client().sendChecked({
        method: "DELETE",
        path: resourcePath(ResourceKind.Drain, DRAIN),
        headers: { "if-match": `"${drain?.revision}"` },
    });
});

Then("every backend server of the place runs requests again", async () => {
    const services = new Set(common.scenario.loads.flatMap(({ attempts }) => attempts.map(({ service }) => service)));
    const deletedAt = performance.now();
    const used = drained.filter(({ service }) => services.has(service));
    assert.ok(used.length > 0);
    const describe = () =>
        used.map(({ name, records, announcer }) => {
            const count = records.filter(({ startedAt }) => startedAt > deletedAt).length;
            return `${name} ${count}${announcer.isWithdrawn ? ", withdrawn" : ""}`;
        }).join("; ");
    await waitUntil(
        () => `requests at every backend server that was drained: ${describe()}`,
        () => used.every(({ records }) => records.some(({ startedAt }) => startedAt > deletedAt)),
    );
});
