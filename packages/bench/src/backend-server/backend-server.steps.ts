import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type Caller, type CallerResponse, createCaller } from "../caller/caller.js";
import { createStandInWorld, waitUntil } from "../entry-stand-in/stand-in-world.js";
import type { BackendServer, RunOutcome } from "./backend-server.js";

const world = createStandInWorld();
let caller: Caller;
let responses: CallerResponse[];
let reportedLoad: number | undefined;

const server = () => world.backendServers[0] as BackendServer;
const announcedServers = () => world.entries.map(entry => entry.backendServers("stoc")[0]);
const createDirectCaller = () => {
    caller = createCaller({ service: "", entries: [`http://127.0.0.1:${server().port}`] });
    world.callers.push(caller);
};

After(() => world.close());

Given("a stand-in with {int} slots that takes {int} ms", async (slots: number, serviceMilliseconds: number) => {
    await world.startBackendServer({ slots, serviceMilliseconds });
    createDirectCaller();
});

When("{int} requests are sent at the same time", async (count: number) => {
    responses = await Promise.all(Array.from({ length: count }, (_, index) => caller.send({ id: `request-${index}` })));
});

Then("{int} succeeded and {int} were rejected", (succeeded: number, rejected: number) => {
    assert.equal(responses.filter(response => response.status === 200).length, succeeded);
    assert.equal(responses.filter(response => response.status === 503).length, rejected);
    assert.equal(server().rejected, rejected);
});

Then("the records contain the {int} that ran", (count: number) => {
    assert.equal(server().records.length, count);
    const ran = responses.filter(response => response.status === 200).map(response => response.id);
    assert.deepEqual(server().records.map(record => record.id).sort(), ran.sort());
});

Given("two stand-in entries and a backend server that announces itself to both", async () => {
    await world.startEntry();
    await world.startEntry();
    await world.startBackendServer();
    createDirectCaller();
});

Given("two stand-in entries and a backend server that reports a load of {float}", async (reported: number) => {
    reportedLoad = reported;
    await world.startEntry();
    await world.startEntry();
    await world.startBackendServer({ reportLoad: () => ({ load: reportedLoad }) });
});

Then("both entries know it", () => assert.deepEqual(announcedServers().map(found => found?.name), ["die-1", "die-1"]));
Then(
    "both entries know it with a load of {float}",
    (reported: number) => assert.deepEqual(announcedServers().map(found => found?.load), [reported, reported]),
);
When("its load reports stop", () => {
    reportedLoad = undefined;
});
Then(
    "both entries know it without a load",
    () =>
        waitUntil(
            "the next announcement arrives",
            () => announcedServers().every(found => found !== undefined && found.load === undefined),
        ),
);
When("the first entry drains it", () => world.entries[0]?.draining.add("die-1"));
Then(
    "no entry knows it",
    () => waitUntil("it has withdrawn", () => announcedServers().every(found => found === undefined)),
);
Then("it rejects requests", async () => assert.equal((await caller.send({ id: "late" })).status, 503));

When(
    "a request with a deadline of {int} ms is sent",
    (milliseconds: number) => caller.send({ id: "deadline", headers: { "hyssop-deadline-ms": String(milliseconds) } }),
);

When("a request is sent and its connection closed", async () => {
    const controller = new AbortController();
    const sent = caller.send({ id: "closed", signal: controller.signal });
    await waitUntil("it runs", () => server().running === 1);
    controller.abort();
    await sent;
});

Then(
    "its run ended as {word}",
    (outcome: RunOutcome) => waitUntil(`it is ${outcome}`, () => server().records.at(-1)?.outcome === outcome),
);

When(
    "a caller whose lookup has a time to live of {int} s sends {int} requests",
    async (seconds: number, count: number) => {
        const { port } = server();
        caller = createCaller({
            service: "",
            entries: [`http://127.0.0.1:${port}`],
            lookUp: () =>
                Promise.resolve({
                    entries: [{ name: "entry-1", address: "127.0.0.1", port }],
                    timeToLiveSeconds: seconds,
                }),
        });
        world.callers.push(caller);
        for (let index = 0; index < count; index += 1) {
            assert.equal((await caller.send({ id: `request-${index}` })).status, 200);
        }
    },
);

Then("it has looked up once", () => assert.equal(caller.lookups, 1));
