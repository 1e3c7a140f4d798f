import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type Caller, type CallerResponse, createCaller, lookUpByHttp } from "../../caller/caller.js";
import { makeIdempotencyKey } from "../../caller/idempotency-key.js";
import { latencyBetween } from "../../deployment/plan.js";
import { defineCommonSteps } from "../common-steps.js";

const common = defineCommonSteps();
let caller: Caller;
let sent: { readonly entry: string; readonly key: string | undefined; readonly response: CallerResponse }[];

Then(
    "a lookup at every entry returns all entries, those of the caller's availability zone and region first",
    async () => {
        const { plan, callerUrls } = common.scenario.deployment;
        for (const url of callerUrls.values()) {
            const { entries } = await lookUpByHttp(url, "stoc", "muntenia-2");
            assert.equal(entries.length, plan.entries.length);
            const latencies = entries.map(({ name }) =>
                latencyBetween(plan, "muntenia-2", plan.entries.find(entry => entry.name === name)!.availabilityZone)
            );
            assert.deepEqual(latencies, latencies.toSorted((one, other) => one - other));
        }
    },
);

const send = (entry: string, key: string | undefined, id: string) =>
    caller.send({
        id,
        method: key === undefined ? "GET" : "POST",
        path: key === undefined ? "stoc/articles" : "comenzi/orders",
        headers: { "test-answer-bytes": "5000", ...key === undefined ? {} : { "idempotency-key": key } },
        body: key,
    }, entry);

When("a request of each class is sent to every entry", async () => {
    caller = createCaller({ service: "", entries: [] });
    sent = [];
    for (const entry of common.scenario.deployment.callerUrls.values()) {
        for (const key of [undefined, makeIdempotencyKey()]) {
            sent.push({ entry, key, response: await send(entry, key, `request-${sent.length}`) });
        }
    }
});

const isComplete = (response: CallerResponse, id: string) =>
    response.body.length === 5_000 && response.body.startsWith(`${id}|`);

Then("each ran and received its complete response from the entry", () => {
    const names = [...common.scenario.deployment.callerUrls.keys()];
    sent.forEach(({ response }, index) => {
        assert.deepEqual([response.status, response.outcome], [200, "run"], JSON.stringify(response));
        assert.equal(response.entry, names[Math.floor(index / 2)]);
        assert.ok(isComplete(response, `request-${index}`), response.body.slice(0, 40));
    });
});

When("each run-once request is sent again to another entry", async () => {
    const entries = [...common.scenario.deployment.callerUrls.values()];
    for (const [index, { entry, key, response }] of sent.entries()) {
        if (key !== undefined) {
            const other = entries[(entries.indexOf(entry) + 3) % entries.length]!;
            const again = await send(other, key, `request-${index}-again`);
            assert.deepEqual([again.status, again.outcome, again.body], [200, "replayed", response.body]);
        }
    }
});

Then("each received the stored response", async () => {
    const keys = common.scenario.deployment.backendServers
        .flatMap(({ records }) => records)
        .flatMap(({ idempotencyKey }) => idempotencyKey === undefined ? [] : [idempotencyKey]);
    assert.equal(keys.length, new Set(keys).size);
    await caller.close();
});
