import { After, Given, Then, When } from "@cucumber/cucumber";
import type { CallerResponse } from "@hyssopfront/bench/caller/caller.ts";
import { createStandInWorld, SERVICE, waitUntil } from "@hyssopfront/bench/entry-stand-in/stand-in-world.ts";
import assert from "node:assert/strict";
import { slotsKey } from "../../admission/budgets.js";

const SLOTS = slotsKey(SERVICE, "die-1");

const world = createStandInWorld();
const theEntry = () => world.entries[0]!;
const theCaller = () => world.callers[0]!;
const counter = (name: string) => theEntry().counters.get(name) ?? 0;

let lastResponse: CallerResponse;

After(() => world.close());

Given(
    /^an entry that holds (\d+) slots? of a backend server that takes (\d+) ms$/,
    async (slots: string, serviceMilliseconds: string) => {
        await world.startEntry();
        await world.startBackendServer({ serviceMilliseconds: Number(serviceMilliseconds) });
        theEntry().admission.limits.set(SLOTS, Number(slots));
    },
);

When("a request is queued and its caller disconnects", async () => {
    const caller = new AbortController();
    const sent = theCaller().send({ id: "left", signal: caller.signal });
    await waitUntil("the request is queued", () => counter("routing.queued") === 1);
    caller.abort();
    await sent;
    await waitUntil("the request has left its queue", () => counter("routing.queue_refusals") === 1);
});

When("the entry holds {int} slots", (slots: number) => {
    theEntry().admission.limits.set(SLOTS, slots);
});

When("{int} requests are sent at the same time", async (count: number) => {
    const sent = Array.from(
        { length: count },
        (_, index) => theCaller().send({ id: `sent-${index}`, headers: { "hyssop-hedge": "off" } }),
    );
    world.responses.push(...await Promise.all(sent));
});

Then("only the {int} requests ran, and all slots are free", (count: number) => {
    const records = world.backendServers.flatMap(server => server.records);
    assert.ok(world.responses.every(({ status }) => status === 200), JSON.stringify(world.responses));
    assert.equal(new Set(records.map(({ id }) => id)).size, count);
    assert.ok(records.every(({ id }) => id.startsWith("sent-")));
    assert.equal(theEntry().admission.used.get(SLOTS), 0);
});

Then("no more than {int} slot was in use at the same time", (most: number) => {
    assert.equal(theEntry().admission.peaks.get(SLOTS), most);
});

When("a request with a deadline of {int} ms is sent", async (milliseconds: number) => {
    lastResponse = await theCaller().send({ id: "late", headers: { "hyssop-deadline-ms": String(milliseconds) } });
});

Then(
    "the caller receives status {int} with outcome {word} and reason {word}",
    (status: number, outcome: string, reason: string) => {
        assert.deepEqual([lastResponse.status, lastResponse.outcome, lastResponse.reason], [status, outcome, reason]);
        assert.ok(world.backendServers.every(({ records }) => records.length === 0));
    },
);
